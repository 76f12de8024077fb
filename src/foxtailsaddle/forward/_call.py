"""One admitted request on its way, as the forwarders see it."""

import dataclasses
import typing as t

from ..core import AccountId, EndpointId, Route, ServiceSpec, Verdict
from ..ports import CallerRequest, Headers


class Answering(t.Protocol):
    """Writes the one answer that a caller gets."""

    started: bool

    async def head(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    async def data(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body as complete."""


@dataclasses.dataclass(slots=True)
class Call:
    """A request that was read whole and may be forwarded.

    :param arrived_at: when its first byte was read.
    :param expires_at: when the caller's or the route's time is over.
    :param runs: endpoints that may have run it.
    :param sends: attempts that were begun.
    :param tried: endpoints that failed or refused it.
    :param full: endpoints that had no memory left for it.
    :param notes: what the log line of its end tells besides.
    """

    request: CallerRequest
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: ServiceSpec
    account: AccountId | None
    fingerprint: str
    arrived_at: float
    expires_at: float
    answering: Answering
    runs: int = 0
    sends: int = 0
    tried: list[EndpointId] = dataclasses.field(default_factory=list)
    full: set[EndpointId] = dataclasses.field(default_factory=set)
    notes: dict[str, t.Any] = dataclasses.field(default_factory=dict)

    def left_s(self, now: float) -> float:
        """Return the seconds until the request expires."""
        return self.expires_at - now

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run so far."""
        return Verdict.MAY_HAVE_RUN if self.runs else Verdict.NOT_RUN
