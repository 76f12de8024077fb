"""The operator's configuration, in the form that the request path uses.

A version is immutable: it is decoded once, and replaced as a whole.
"""

import dataclasses
import typing as t
from enum import Enum

from ._cold_starts import ColdStartSpec
from ._ids import AccountId, ServiceId


class RouteKind(Enum):
    """Whether the requests of a route may be repeated."""

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

    :param timeout_s: longest time until a request is answered or fails.
    :param first_event_target_s: target for the time to the answer, or to a stream's
        first event.
    :param gap_s: target for the longest time between events of a stream.
    :param max_attempts: number of endpoints that one request may be sent to.
    :param resumable: whether a broken stream may continue at another endpoint.
    :param public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    first_event_target_s: float
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
        """Return the service at ``point`` of the weighted split.

        :param point: position in the split, from 0 up to 1.
        """
        left = point * sum(split.weight for split in self.splits)
        for split in self.splits:
            left -= split.weight
            if left < 0:
                return split.service
        return self.splits[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Published speeds and sizes of a service's model engines.

    :param slots: requests that an engine processes at once.
    :param kv_tokens: size of an engine's KV cache, in tokens.
    :param stride: token steps of a pass while requests are decoded.
    :param step_ms: base time of one token step.
    :param step_ms_per_request: added to a step for each request that is decoded.
    :param context_ms_per_k: added to a step for 1,000 tokens of these requests'
        context.
    :param prefill_tokens_per_ms: prompt tokens prefilled per millisecond.
    :param pair_ms_per_m: added to a prefill for a million pairs of a token and an
        earlier one.
    :param chunk_tokens: largest number of prompt tokens prefilled in one step.
    :param hop_ms: added to a step for a request whose context is distributed over
        several engines.
    """

    slots: int
    kv_tokens: int
    stride: int
    step_ms: float
    step_ms_per_request: float
    context_ms_per_k: float
    prefill_tokens_per_ms: float
    pair_ms_per_m: float
    chunk_tokens: int
    hop_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service.

    :param engine: ``None`` for a plain service.
    :param cold_start: ``None`` if cold endpoints tolerate any load.
    """

    id: ServiceId
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_start: ColdStartSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficLimits:
    """Limits on the size of a client's requests and on the time to send them."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    :param priority: overrides the route's priority.
    """

    id: AccountId
    priority: int | None = None


class RouteTable:
    """One version of the configuration.

    :param version: number given by the operator; a later version has a higher one.
    :param account_by_key: empty when no route requires a key.
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
        self._most_urgent_by_service: dict[ServiceId, int] = {}
        for route in routes:
            for split in route.splits:
                known = self._most_urgent_by_service.get(split.service, route.priority)
                most_urgent = min(known, route.priority)
                self._most_urgent_by_service[split.service] = most_urgent
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    def most_urgent(self, service: ServiceId) -> int:
        """Return the highest priority of a service's routes; the lowest number."""
        return self._most_urgent_by_service.get(service, 0)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``."""
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
