"""The state of one admitted request while it is forwarded."""

import dataclasses
import typing as t

from ..core import (
    AccountId,
    EndpointId,
    LeaveReason,
    PromptPartId,
    Route,
    ServiceSpec,
    Verdict,
)
from ..ports import CallerRequest, Headers


class ResponseWriter(t.Protocol):
    """Writes the response to the caller.

    :ivar started: the head of the response was sent.
    """

    started: bool

    async def take(self, size: int) -> None:
        """Take room for bytes of the response that are kept until they are sent.

        :raises NotReadyError: there is none.
        """

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and the headers of the response."""

    async def send_data(self, data: bytes) -> None:
        """Send a part of the response body."""

    async def finish(self) -> None:
        """Mark the response body as complete."""


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request that was read completely, and the state of forwarding it.

    :param fingerprint: digest that repetitions of the same request share.
    :param arrived_at: when the first byte of the request was read.
    :param expires_at: when the time that the caller or the route allows is over.
    :param priority: 0 is the highest.
    :param possible_runs: number of endpoints that may have run the request.
    :param attempts: number of attempts that were started.
    :param has_claimed_retry: a retry was taken out of the budget for the next attempt.
    :param broke_off: an answer to the request has broken off.
    :param has_succeeded: the present attempt ran well past the point at which a prompt
        that crashes engines would have ended it.
    :param tried_endpoints: endpoints that failed or refused the request.
    :param full_endpoints: endpoints that had no memory left for the request.
    :param leave_reason: why the endpoint of the present attempt is in another data
        centre; ``None`` if it isn't.
    :param log_fields: further fields of the log line of the end of the request.
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
    response_writer: ResponseWriter
    priority: int = 0
    possible_runs: int = 0
    attempts: int = 0
    has_claimed_retry: bool = False
    broke_off: bool = False
    has_succeeded: bool = False
    tried_endpoints: list[EndpointId] = dataclasses.field(default_factory=list)
    full_endpoints: set[EndpointId] = dataclasses.field(default_factory=set)
    leave_reason: LeaveReason | None = None
    log_fields: dict[str, t.Any] = dataclasses.field(default_factory=dict)

    def remaining_s(self, now: float) -> float:
        """Return the time until the request expires, in seconds."""
        return self.expires_at - now

    @property
    def suspects(self) -> tuple[PromptPartId, ...]:
        """Parts of the prompt that may be at fault if the engine crashes now."""
        return () if self.has_succeeded else self.request.shared_prompt_parts

    @property
    def verdict(self) -> Verdict:
        """Whether an endpoint may have run the request so far."""
        return Verdict.MAY_HAVE_RUN if self.possible_runs else Verdict.NOT_RUN
