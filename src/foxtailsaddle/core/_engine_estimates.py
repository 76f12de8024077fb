"""Estimates what an engine's present load means for one more prompt.

Load pattern: any; the estimate holds for the moment of the decision. It covers the
new prompt's times at the engine, and what the engine's present callers lose if the
events of their streams come further apart or their first event is postponed.
"""

import dataclasses
import math
import typing as t

from ._engine_loads import EngineLoad, PendingFirstEvent
from ._engine_time import EngineTime
from ._ids import DataCentre, EndpointId

LATE_COST = 0.75  # share of an answer's weight that is lost when it is late
LATENESS_RAMP_START = 0.7  # share of a bound at which lateness becomes possible
LATENESS_RAMP_END = 1.05  # share of a bound at which lateness is certain
OVERRUN_LATENESS = 0.005  # added for each further multiple of the bound
DEFAULT_SLOT_WAIT_MS = 400.0  # per queued request, where no end is predicted
DECODE_TIME_FACTOR = 1.1  # prefills of other prompts interrupt the decoding
MAX_MEMORY_UTILIZATION = 0.97
NORMAL_FAILURE_SHARE = 0.0125  # of attempts; only the excess has a cost
NETWORK_MS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PromptDemand:
    """Size and time bounds of one streamed request.

    :param output_tokens: expected length of the answer.
    :param first_event_target_ms: time left until its first event is late.
    :param gap_ms: longest permitted time between its events.
    :param weight: value of an answer that is on time, see :func:`answer_weight`.
    """

    prompt_tokens: int
    output_tokens: int
    first_event_target_ms: float
    gap_ms: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCandidate:
    """An engine that a plan may use, with its present state as far as known.

    :param slowdown: how many times slower than its published speed it is.
    :param failure_share: expected share of failing attempts.
    :param stall_suspicion: how likely it stalls shared prefills, from 0.
    :param can_reserve: false when it has just refused to reserve memory.
    :param can_help: false if it takes only a limited number of requests.
    :param limit_wait_ms: time until its limit allows a request.
    :param delay_ms: by how much its first events come later over a longer way.
    """

    id: EndpointId
    data_centre: DataCentre
    load: EngineLoad
    slowdown: float = 1.0
    failure_share: float = NORMAL_FAILURE_SHARE
    stall_suspicion: float = 0.0
    can_reserve: bool = True
    can_help: bool = True
    limit_wait_ms: float = 0.0
    delay_ms: float = 0.0


def lateness(taken_ms: float, bound_ms: float) -> float:
    """Return the expected lateness of an event, from 0 (surely on time).

    It is 1 where the bound will certainly be exceeded, and grows slowly after that.
    """
    if bound_ms <= 0:
        return 1.0 + OVERRUN_LATENESS * taken_ms / 1000
    share = taken_ms / bound_ms
    if share <= LATENESS_RAMP_START:
        return 0.0
    ramp = min(
        1.0,
        (share - LATENESS_RAMP_START) / (LATENESS_RAMP_END - LATENESS_RAMP_START),
    )
    return ramp + OVERRUN_LATENESS * max(0.0, share - LATENESS_RAMP_END)


def postponement_cost(pending: PendingFirstEvent, delay_ms: float) -> float:
    """Return the cost of a first event that comes later by a delay."""
    present_lateness = lateness(pending.due_ms, pending.target_ms)
    new_lateness = lateness(pending.due_ms + delay_ms, pending.target_ms)
    return LATE_COST * pending.weight * (new_lateness - present_lateness)


class EngineEstimate:
    """Times and costs of one engine that are the same in every plan.

    :ivar main_gap_ms: time between events if it is the main engine, without the
        prefill of this prompt.
    :ivar helper_gap_ms: the same if it is a helper.
    :ivar streams: (permitted gap, total weight, present lateness) of its streams,
        grouped by the gap.
    :ivar main_cost: fixed cost if it is the main engine.
    :ivar start_ms: time to the first event without the prefill of this prompt, if it
        prefills the whole prompt; its pending prefills go first.
    :ivar shared_start_ms: the same if it prefills a part; that goes ahead of its
        pending prefills, except for those of a pass that also decodes.
    :ivar helper_start_ms: the same if it is a helper, which needs no slot.
    :ivar helper_cost: fixed cost if it is a helper.
    :ivar safe_gap_ms: time between events up to which no stream can be late.
    """

    __slots__ = (
        "main_gap_ms",
        "helper_gap_ms",
        "streams",
        "engine",
        "main_cost",
        "start_ms",
        "shared_start_ms",
        "helper_start_ms",
        "free_tokens",
        "slowdown",
        "helper_cost",
        "safe_gap_ms",
        "slot_wait_ms",
        "tie_break",
        "decode_ms",
    )

    def __init__(
        self, engine: EngineCandidate, demand: PromptDemand, time: EngineTime
    ) -> None:
        load = engine.load
        decoding = min(load.decoding_requests, time.spec.slots)
        prompt_tokens = demand.prompt_tokens
        self.engine = engine
        self.slowdown = engine.slowdown
        context = load.context_tokens * min(
            1.0, time.spec.slots / max(1, load.requests)
        )
        pass_ms = time.pass_ms(decoding, context)
        first_pass_ms = time.pass_ms(decoding + 1, context)
        decode_pass_ms = time.pass_ms(decoding + 1, context + prompt_tokens)
        self.decode_ms = DECODE_TIME_FACTOR * time.decode_ms(
            demand.output_tokens, decoding + 1, context + prompt_tokens
        )
        remaining_pass_ms = first_pass_ms / 2 if load.decoding_requests else 0.0
        self.slot_wait_ms = _slot_wait_ms(load, time.spec.slots)
        idle_start_ms = (
            NETWORK_MS
            + engine.delay_ms
            + self.slowdown * (remaining_pass_ms + first_pass_ms)
        )
        pending_ms = self.slowdown * load.prefill_ms
        pass_pending_ms = pending_ms if load.decoding_requests else 0.0
        admission_ms = max(self.slot_wait_ms, engine.limit_wait_ms)
        self.start_ms = idle_start_ms + pending_ms + admission_ms
        self.helper_start_ms = idle_start_ms + pass_pending_ms
        self.shared_start_ms = self.helper_start_ms + admission_ms
        self.main_gap_ms = self.slowdown * (decode_pass_ms + load.prefill_ms)
        self.helper_gap_ms = self.slowdown * (pass_ms + load.prefill_ms)
        weight_by_gap: dict[float, float] = {}
        for gap_ms, weight in load.weighted_gaps_ms:
            weight_by_gap[gap_ms] = weight_by_gap.get(gap_ms, 0.0) + weight
        self.streams = [
            (gap_ms, weight, lateness(self.helper_gap_ms, gap_ms))
            for gap_ms, weight in weight_by_gap.items()
        ]
        self.safe_gap_ms = LATENESS_RAMP_START * min(weight_by_gap, default=math.inf)
        capacity = int(time.spec.kv_tokens * MAX_MEMORY_UTILIZATION)
        self.free_tokens = max(0, capacity - load.kv_tokens)
        self.main_cost = 0.0
        self.helper_cost = 0.0
        self.tie_break = load.prefill_ms + load.context_tokens / 1000

    def postponement_cost(self, part_ms: float) -> float:
        """Return the cost to the prompts that wait for this engine's prefills."""
        return sum(
            postponement_cost(pending, self.slowdown * part_ms)
            for pending in self.engine.load.pending_first_events
        )

    def delay_cost(self, event_gap_ms: float) -> float:
        """Return the cost to the present streams if events come this far apart."""
        if event_gap_ms <= self.safe_gap_ms:
            return 0.0
        return LATE_COST * sum(
            weight * (lateness(event_gap_ms, gap_ms) - present_lateness)
            for gap_ms, weight, present_lateness in self.streams
        )


def total_postponement_cost(
    estimates: t.Iterable[EngineEstimate], part_ms: float
) -> float:
    """Return the cost to the prompts that wait for any of several engines.

    A prompt that waits for more than one of them counts once.
    """
    pending_by_job = {
        pending.job: (pending, estimate.slowdown * part_ms)
        for estimate in estimates
        for pending in estimate.engine.load.pending_first_events
    }
    return sum(
        postponement_cost(pending, delay_ms)
        for pending, delay_ms in pending_by_job.values()
    )


def _slot_wait_ms(load: EngineLoad, slots: int) -> float:
    """Return the predicted time until one more request gets a slot.

    Deprioritized requests that have not begun are not counted: they wait longer.
    """
    ahead = load.requests - load.deprioritized - slots
    if ahead < 0:
        return 0.0
    if ahead < len(load.remaining_ms):
        return load.remaining_ms[ahead]
    return (1 + ahead) * DEFAULT_SLOT_WAIT_MS
