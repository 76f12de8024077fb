"""The operator's configuration as the request path reads it.

A version is immutable: it is decoded once, and replaced as a whole.
"""

import dataclasses
import typing as t
from enum import Enum

from ._ids import AccountId, ServiceId


class RouteKind(Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """The share of a route's requests that go to one service."""

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route: a host and a path prefix.

    :param timeout_s: the longest time that a caller is kept waiting.
    :param aim_s: time to the answer, or to a stream's first event, that still
        counts as prompt.
    :param gap_s: longest pause between events that still counts as prompt.
    :param max_attempts: endpoints that one request may be sent to.
    :param resumable: whether a broken stream may go on at another endpoint.
    :param public: whether the route needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    aim_s: float
    gap_s: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def service_at(self, point: float) -> ServiceId:
        """Return the service that owns ``point`` of the weighted split.

        :param point: from 0 up to 1.
        """
        left = point * sum(split.weight for split in self.splits)
        for split in self.splits:
            left -= split.weight
            if left < 0:
                return split.service
        return self.splits[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speeds and sizes of a service's model engines.

    :param slots: requests that an engine processes at once.
    :param kv_tokens: memory of an engine, in tokens.
    :param stride: token steps of a pass that includes writers.
    :param step_ms: time of one token step.
    :param writer_ms: added to a step for each request that is writing.
    :param context_ms_per_k: added to a step for 1,000 tokens of writers' context.
    :param read_tokens_per_ms: prompt tokens read in a millisecond.
    :param pair_ms_per_m: added for a million pairs of a token and an earlier one.
    :param chunk_tokens: prompt tokens read in one step at most.
    :param hop_ms: added to a step of a writer whose prompt is shared.
    """

    slots: int
    kv_tokens: int
    stride: int
    step_ms: float
    writer_ms: float
    context_ms_per_k: float
    read_tokens_per_ms: float
    pair_ms_per_m: float
    chunk_tokens: int
    hop_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service; ``engine`` is ``None`` for a plain service."""

    id: ServiceId
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficLimits:
    """Bounds on what a client may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; its priority goes before the route's."""

    id: AccountId
    priority: int | None = None


class RouteTable:
    """One version of the configuration.

    :param version: the operator's number; a later one is higher.
    :param account_by_key: empty when no route asks for a key.
    """

    def __init__(
        self,
        version: int,
        routes: t.Iterable[Route],
        services: t.Iterable[ServiceSpec],
        account_by_key: t.Mapping[str, ClientAccount],
        limits: TrafficLimits,
        has_accounts: bool = True,
    ) -> None:
        self.version = version
        self.service_by_id = {service.id: service for service in services}
        self.account_by_key = account_by_key
        self.has_accounts = has_accounts
        self.limits = limits
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        by_prefix = self._routes_by_host.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None
