"""Chooses the engines that prefill and decode a prompt.

Load pattern: prompts of a thousand to a million tokens on one fleet. While an
engine prefills a long prompt, the time between the events of every stream that it
decodes grows. The cost of a plan therefore includes all callers that it affects:
the new caller, whose first event may be late, and the callers of the engine's present
streams, whose next events may be late. As a result, short prompts are placed on few
engines, and the others prefill long prompts in parts.

All costs are in the unit of ``answer_weight``, the value of an answer to its caller.
"""

import dataclasses
import heapq
import typing as t

from ._distances import Distance, LeaveReason, leave_reason
from ._engine_estimates import (
    LATE_COST,
    MAX_MEMORY_UTILIZATION,
    NORMAL_FAILURE_SHARE,
    EngineCandidate,
    EngineEstimate,
    PromptDemand,
    lateness,
    total_postponement_cost,
)
from ._engine_time import EngineTime
from ._ids import DataCentre, EndpointId

OUTPUT_WEIGHT = 10  # prompt tokens that one output token counts as
WEIGHT_UNIT_TOKENS = 14_000

FIRST_TIGHT_STREAM_COST = 0.03  # keeps other engines free for long prompts
FULL_ENGINE_COST = 0.12  # other instances may be placing on the same engine
FREE_SLOT_UTILIZATION = 0.5  # up to which a further request costs nothing
# Each instance ranks the engines differently, so that they choose different ones.
INSTANCE_RANK_COST = 0.02
HELPER_COST = 0.003  # for each helper
WAIT_COST = 0.04  # share of the weight, for a first event exactly at its target
OVER_MEMORY_COST = 0.6  # share of the weight, where the request exceeds free memory
TIGHT_GAP_MS = 400.0  # streams with no longer permitted gap count as tight
PART_COUNTS = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
MIN_SPLIT_PREFILL_MS = 60.0  # shorter prefills are not split
MAX_RESERVED_SHARE = 0.8  # of a helper's free memory, since its own requests grow
STALL_COST = 0.5  # share of the weight, for a suspicion of 1
MAX_HELPER_SLOWDOWN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPlan:
    """The engines for one prompt, with the predicted times and cost.

    :param endpoint: the main engine, which decodes the answer.
    :param helpers: engines that prefill a part of the prompt.
    :param part_ms: prefill time at each of the engines.
    :param reserved_by_endpoint: memory to reserve at helpers, in tokens.
    :param first_event_ms: predicted time to the first event.
    :param cost: predicted cost to all callers that the plan affects.
    :param slot_ms: predicted wait for a slot at the endpoint, 0 if one is free.
    :param decode_ms: predicted time from the first event to the last.
    :param leave_reason: why the endpoint is in another data centre; ``None`` at home.
    :param deprioritized: whether other requests run first, because this one will be
        late anyway. Only for short prompts: a long prefill delays the other requests
        of an engine whenever it runs.
    """

    endpoint: EndpointId
    helpers: tuple[EndpointId, ...]
    part_ms: float
    reserved_by_endpoint: t.Mapping[EndpointId, int]
    first_event_ms: float
    cost: float
    slot_ms: float = 0.0
    decode_ms: float = 0.0
    deprioritized: bool = False
    leave_reason: LeaveReason | None = None


def answer_weight(prompt_tokens: int, output_tokens: int) -> float:
    """Return the value of an answer to its caller, about 1 for a short one.

    The configuration doesn't contain it, so it is estimated from the size.
    """
    return (prompt_tokens + OUTPUT_WEIGHT * output_tokens) / WEIGHT_UNIT_TOKENS


def place_stream(
    demand: PromptDemand,
    candidates: t.Sequence[EngineCandidate],
    time: EngineTime,
    distance: Distance,
    instance_rank: t.Callable[[EndpointId], float] = lambda _: 0.0,
) -> StreamPlan | None:
    """Return the plan with the lowest cost, or ``None`` if there is no engine.

    :param distance: of the data centres from the instance that decides.
    :param instance_rank: returns an engine's rank in this instance's own order, from
        0 (preferred) to 1.
    """
    planner = _Planner(demand, time, distance, instance_rank)
    engines = [planner.estimate(candidate) for candidate in candidates]
    best: StreamPlan | None = None
    for parts in _part_counts(time.prefill_ms(demand.prompt_tokens), len(candidates)):
        plan = planner.plan(engines, parts)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best and _with_leave_reason(best, engines, distance.home)


def _with_leave_reason(
    plan: StreamPlan, engines: t.Sequence[EngineEstimate], home: DataCentre
) -> StreamPlan:
    data_centre_by_engine = {e.engine.id: e.engine.data_centre for e in engines}
    chosen = data_centre_by_engine[plan.endpoint]
    if chosen == home:
        return plan
    slots = ((e.engine.data_centre, not e.slot_wait_ms) for e in engines)
    return dataclasses.replace(plan, leave_reason=leave_reason(chosen, home, slots))


def _part_counts(prefill_ms: float, engine_count: int) -> list[int]:
    if prefill_ms < MIN_SPLIT_PREFILL_MS:
        return [1] if engine_count else []
    return [parts for parts in PART_COUNTS if parts <= engine_count]


class _Planner:
    """Builds the plans for one request and calculates their costs."""

    def __init__(
        self,
        demand: PromptDemand,
        time: EngineTime,
        distance: Distance,
        instance_rank: t.Callable[[EndpointId], float],
    ) -> None:
        self.demand = demand
        self.time = time
        self._distance = distance
        self._instance_rank = instance_rank

    def estimate(self, engine: EngineCandidate) -> EngineEstimate:
        """Return an engine's estimate, with the costs that all plans share."""
        estimate = EngineEstimate(engine, self.demand, self.time)
        failure_cost = self.failure_cost(engine)
        stall_cost = STALL_COST * engine.stall_suspicion * self.demand.weight
        estimate.main_cost = failure_cost + self.decode_cost(
            engine, estimate.free_tokens
        )
        estimate.helper_cost = HELPER_COST + failure_cost + stall_cost
        return estimate

    def plan(
        self, engines: t.Sequence[EngineEstimate], parts: int
    ) -> StreamPlan | None:
        """Return the cheapest plan that splits the prefill into ``parts``.

        :returns: ``None`` if there are too few engines or too little memory.
        """
        part_ms = self.time.prefill_ms(self.demand.prompt_tokens, parts)
        main = min(
            engines,
            key=lambda estimate: self._main_sort_key(estimate, part_ms, parts > 1),
            default=None,
        )
        if main is None:
            return None
        helpers = self._choose_helpers(engines, main, parts - 1, part_ms)
        if len(helpers) < parts - 1:
            return None
        reserved = self._reserve_memory(main, helpers)
        if reserved is None:
            return None
        return self._build_plan(main, helpers, part_ms, reserved)

    def decode_cost(self, engine: EngineCandidate, free_tokens: int) -> float:
        """Return the cost of decoding at an engine, except for failures and delays."""
        weight = self.demand.weight
        cost = INSTANCE_RANK_COST * weight * self._instance_rank(engine.id)
        if self.demand.gap_ms <= TIGHT_GAP_MS and not _has_tight_streams(engine):
            cost += FIRST_TIGHT_STREAM_COST * weight
        utilization = min(1.0, (engine.load.requests + 1) / self.time.spec.slots)
        excess = max(0.0, utilization - FREE_SLOT_UTILIZATION) / (
            1 - FREE_SLOT_UTILIZATION
        )
        cost += FULL_ENGINE_COST * weight * excess * excess
        cost += self._distance.stream_cost(
            engine.data_centre, self.demand.prompt_tokens, self.demand.output_tokens
        )
        if free_tokens < self._required_tokens():
            cost += OVER_MEMORY_COST * weight
        return cost

    def failure_cost(self, engine: EngineCandidate) -> float:
        """Return the cost of an engine's failures beyond the normal share."""
        excess = max(0.0, engine.failure_share - NORMAL_FAILURE_SHARE)
        return excess * self.demand.weight

    def _build_plan(
        self,
        main: EngineEstimate,
        helpers: list[EngineEstimate],
        part_ms: float,
        reserved: dict[EndpointId, int],
    ) -> StreamPlan:
        part_ends_ms = [
            helper.helper_start_ms + helper.slowdown * part_ms for helper in helpers
        ]
        main_start_ms = _main_start_ms(main, is_shared=bool(helpers))
        part_ends_ms.append(main_start_ms + main.slowdown * part_ms)
        first_event_ms = max(part_ends_ms)
        cost = self._first_event_cost(first_event_ms) + main.main_cost
        cost += self._main_delay_cost(main, part_ms, sum(reserved.values()))
        cost += sum(self._helper_cost(helper, part_ms) for helper in helpers)
        part_tokens = self.demand.prompt_tokens / (1 + len(helpers))
        cost += sum(self._part_cost(main, helper, part_tokens) for helper in helpers)
        if helpers:
            cost += total_postponement_cost((main, *helpers), part_ms)
        return StreamPlan(
            endpoint=main.engine.id,
            helpers=tuple(helper.engine.id for helper in helpers),
            part_ms=part_ms,
            reserved_by_endpoint=reserved,
            first_event_ms=first_event_ms,
            cost=cost,
            slot_ms=main.slot_wait_ms,
            decode_ms=main.decode_ms,
            deprioritized=first_event_ms > self.demand.first_event_target_ms
            and part_ms < MIN_SPLIT_PREFILL_MS,
        )

    def _choose_helpers(
        self,
        engines: t.Sequence[EngineEstimate],
        main: EngineEstimate,
        count: int,
        part_ms: float,
    ) -> list[EngineEstimate]:
        if not count:
            return []
        available = [
            estimate
            for estimate in engines
            if estimate is not main and self._can_help(estimate.engine)
        ]
        return heapq.nsmallest(
            count,
            available,
            key=lambda helper: self._helper_sort_key(main, helper, part_ms, count + 1),
        )

    def _can_help(self, engine: EngineCandidate) -> bool:
        """Return whether an engine has a free slot and is fast enough to help.

        A part at a slow engine would delay the whole prompt.
        """
        if not engine.can_help:
            return False
        has_slot = engine.load.helper_prefills < self.time.spec.slots
        return has_slot and engine.slowdown < MAX_HELPER_SLOWDOWN

    def _part_cost(
        self, main: EngineEstimate, helper: EngineEstimate, part_tokens: float
    ) -> float:
        """Return the cost of sending a part of the prompt from the main engine."""
        return self._distance.part_cost(
            main.engine.data_centre, helper.engine.data_centre, part_tokens
        )

    def _helper_sort_key(
        self, main: EngineEstimate, estimate: EngineEstimate, part_ms: float, parts: int
    ) -> tuple[float, float]:
        first_event_cost = self._first_event_cost(
            estimate.helper_start_ms + estimate.slowdown * part_ms
        )
        return (
            self._helper_cost(estimate, part_ms)
            + first_event_cost
            + estimate.postponement_cost(part_ms)
            + self._part_cost(main, estimate, self.demand.prompt_tokens / parts),
            estimate.engine.load.prefill_ms,
        )

    def _helper_cost(self, estimate: EngineEstimate, part_ms: float) -> float:
        event_gap_ms = estimate.helper_gap_ms + estimate.slowdown * part_ms
        return estimate.helper_cost + estimate.delay_cost(event_gap_ms)

    def _main_sort_key(
        self, estimate: EngineEstimate, part_ms: float, is_shared: bool
    ) -> tuple[float, float]:
        start_ms = _main_start_ms(estimate, is_shared)
        cost = (
            self._first_event_cost(start_ms + estimate.slowdown * part_ms)
            + estimate.main_cost
        )
        cost += self._main_delay_cost(estimate, part_ms, 0)
        if is_shared:
            cost += estimate.postponement_cost(part_ms)
        return cost, estimate.tie_break

    def _main_delay_cost(
        self, main: EngineEstimate, part_ms: float, reserved_tokens: int
    ) -> float:
        event_gap_ms = main.main_gap_ms + main.slowdown * part_ms
        if reserved_tokens:
            remote_context_ms = self.time.context_pass_ms(reserved_tokens)
            event_gap_ms -= main.slowdown * remote_context_ms
        return main.delay_cost(event_gap_ms)

    def _first_event_cost(self, first_event_ms: float) -> float:
        target_ms = self.demand.first_event_target_ms
        late_cost = LATE_COST * lateness(first_event_ms, target_ms)
        wait_cost = (
            WAIT_COST * min(1.0, first_event_ms / target_ms) if target_ms > 0 else 0.0
        )
        return self.demand.weight * (late_cost + wait_cost)

    def _required_tokens(self) -> int:
        return self.demand.prompt_tokens + self.demand.output_tokens

    def _reserve_memory(
        self, main: EngineEstimate, helpers: list[EngineEstimate]
    ) -> dict[EndpointId, int] | None:
        """Return the tokens of memory to reserve at each helper.

        A prompt that fits into the memory of an empty engine is never distributed over
        several: it waits until the main engine has enough free memory.

        :returns: ``None`` if the free memory of the helpers is too small.
        """
        capacity = int(self.time.spec.kv_tokens * MAX_MEMORY_UTILIZATION)
        required = self._required_tokens()
        if required <= capacity:
            return {}
        remaining_tokens = required - max(
            main.free_tokens, self.demand.output_tokens + capacity // 4
        )
        reserved: dict[EndpointId, int] = {}
        holders = [helper for helper in helpers if helper.engine.can_reserve]
        for holder in sorted(
            holders, key=lambda holder: holder.free_tokens, reverse=True
        ):
            if remaining_tokens <= 0:
                break
            reserved[holder.engine.id] = min(
                remaining_tokens, int(MAX_RESERVED_SHARE * holder.free_tokens)
            )
            remaining_tokens -= reserved[holder.engine.id]
        return reserved if remaining_tokens <= 0 else None


def _main_start_ms(estimate: EngineEstimate, is_shared: bool) -> float:
    return estimate.shared_start_ms if is_shared else estimate.start_ms


def _has_tight_streams(engine: EngineCandidate) -> bool:
    return any(gap_ms <= TIGHT_GAP_MS for gap_ms, _ in engine.load.weighted_gaps_ms)
