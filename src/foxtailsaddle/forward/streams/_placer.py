"""Chooses the engines for a stream from this instance's view of their load."""

import math
import typing as t

import trio
import xxhash

from ...core import (
    AccountHash,
    Distance,
    EndpointId,
    EngineCandidate,
    EngineSpec,
    EngineTime,
    ListedEndpoint,
    PromptDemand,
    Sampling,
    ServiceId,
    SlotShares,
    StreamPlan,
    answer_weight,
    cell_of_instance,
    cells_of_engine,
    place_stream,
    slot_shares,
)
from .._fleet import FleetState
from .._retrying import eligible_endpoints

HASH_RANGE = 1 << 32
SHORT_PROMPT_CANDIDATES = 48  # engines that one placement considers
LONG_PROMPT_CANDIDATES = 96
LONG_PROMPT_PREFILL_MS = 60.0  # several engines may share longer ones


class _ServiceOrder(t.NamedTuple):
    usable: t.Sequence[ListedEndpoint]
    ordered: t.Sequence[ListedEndpoint]


class StreamPlacer:
    """Places prompts at the engines of a service.

    :param distance: of the data centres from this instance.
    """

    def __init__(self, fleet: FleetState, distance: Distance) -> None:
        self._fleet = fleet
        self._distance = distance
        self._sampling = Sampling()
        self._order_by_service: dict[ServiceId, _ServiceOrder] = {}

    def demand(
        self,
        prompt_tokens: int,
        output_tokens: int,
        first_event_target_s: float,
        gap_s: float,
    ) -> PromptDemand:
        """Return the resources and the latency bounds that a prompt needs.

        :param output_tokens: expected length of the output.
        :param first_event_target_s: time left until the first event is late, in
            seconds.
        :param gap_s: longest acceptable pause between events, in seconds.
        """
        return PromptDemand(
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            first_event_target_ms=first_event_target_s * 1000,
            gap_ms=gap_s * 1000,
            weight=answer_weight(prompt_tokens, output_tokens),
        )

    def place(
        self,
        service: ServiceId,
        spec: EngineSpec,
        demand: PromptDemand,
        tried: t.Collection[EndpointId],
        full: t.Collection[EndpointId],
        now: float,
        max_limit_wait_s: float = math.inf,
    ) -> StreamPlan | None:
        """Return the engines for the prefill and the decoding of a prompt.

        Returns ``None`` if the service has no engine that may get requests.

        :param tried: engines that failed this request.
        :param full: engines that have just refused to reserve memory for it.
        :param max_limit_wait_s: longest time that it may wait at an engine's limit.
        """
        time = EngineTime(spec)
        is_long = time.prefill_ms(demand.prompt_tokens) >= LONG_PROMPT_PREFILL_MS
        count = LONG_PROMPT_CANDIDATES if is_long else SHORT_PROMPT_CANDIDATES
        available = self._available_engines(service, now)
        sample = self._sampling.sample(available, count)
        candidates = [
            self._candidate(entry, full, now)
            for entry in eligible_endpoints(
                self._fleet, sample, tried, max_limit_wait_s, now
            )
        ]
        return place_stream(demand, candidates, time, self._distance, self._order_key)

    def has_free_slot(self, service: ServiceId, spec: EngineSpec) -> bool:
        """Return whether any engine of a service has a free slot.

        Cheaper than :meth:`place`. True also if no engine of the service may get
        requests, since there is then nothing to wait for.
        """
        requests = self._fleet.engine_loads.requests
        now = trio.current_time()
        available = self._available_engines(service, now)
        available = self._fleet.request_limits.within(available, 0.0, now)
        return not available or any(
            requests(entry.id) < spec.slots for entry in available
        )

    def free_slots(self, service: ServiceId, spec: EngineSpec) -> float:
        """Return the number of free slots; infinite if no engine may get requests."""
        requests = self._fleet.engine_loads.requests
        available = self._available_engines(service, trio.current_time())
        if not available:
            return math.inf
        return sum(max(0, spec.slots - requests(entry.id)) for entry in available)

    def slot_shares(
        self,
        service: ServiceId,
        spec: EngineSpec,
        waiting: t.Collection[AccountHash],
    ) -> SlotShares:
        """Return how the slots of a service are shared at present.

        :param waiting: accounts whose requests wait for a slot.
        """
        engines = self._available_engines(service, trio.current_time())
        usage = self._fleet.engine_loads.usage(service)
        return slot_shares(usage, waiting, spec.slots * len(engines))

    def count_instances(self) -> int:
        """Return the number of live instances, this one included."""
        return self._fleet.count_live_instances()

    def _available_engines(
        self, service: ServiceId, now: float
    ) -> t.Sequence[ListedEndpoint]:
        """Return the engines in this instance's cell that may get requests.

        Returns those of all cells if there are none.
        """
        own = self._fleet.eligible(self._ordered_engines(service), now)
        return own or self._fleet.available(service, now)

    def _ordered_engines(self, service: ServiceId) -> t.Sequence[ListedEndpoint]:
        """Return the engines of this instance's cell in its own order."""
        usable = self._fleet.endpoints.usable(service)
        order = self._order_by_service.get(service)
        if order is None or order.usable is not usable:
            own = self._own_cell(usable, self._fleet.count_cells(service))
            ordered = sorted(own, key=lambda entry: self._order_key(entry.id))
            order = _ServiceOrder(usable, ordered)
            self._order_by_service[service] = order
        return order.ordered

    def _own_cell(
        self, engines: t.Sequence[ListedEndpoint], cells: int
    ) -> t.Sequence[ListedEndpoint]:
        if cells == 1:
            return engines
        cell = cell_of_instance(self._fleet.instance, cells)
        return [entry for entry in engines if cell in cells_of_engine(entry.id, cells)]

    def _candidate(
        self,
        entry: ListedEndpoint,
        full: t.Collection[EndpointId],
        now: float,
    ) -> EngineCandidate:
        endpoint = entry.id
        health = self._fleet.health
        limits = self._fleet.request_limits
        return EngineCandidate(
            id=endpoint,
            data_centre=entry.data_centre,
            load=self._fleet.engine_loads.load(endpoint, now),
            slowdown=health.slowdown(endpoint, now),
            failure_share=health.failure_share(endpoint, now),
            stall_suspicion=health.stall_suspicion(endpoint, now),
            can_reserve=endpoint not in full,
            can_help=limits.limit_of(entry, now) is None,
            limit_wait_ms=limits.wait_s(entry, now) * 1000,
            delay_ms=self._distance.delay_ms(entry.data_centre, now),
        )

    def _order_key(self, endpoint: EndpointId) -> float:
        """Return the rank of an engine in this instance's own order, from 0 to 1."""
        key = f"{self._fleet.instance}\0{endpoint}".encode()
        return xxhash.xxh32_intdigest(key) / HASH_RANGE
