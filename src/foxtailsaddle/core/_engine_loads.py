"""Load of each model engine, from the requests that all instances place.

Instances notify each other of every job that they place, of first events that
come at another time than predicted, and of jobs that end. Their views therefore
differ only for as long as a datagram takes. Load pattern: any. During that time,
several instances may place prompts on the same engine.
"""

import dataclasses
import math
import typing as t

from ._account_shares import NO_ACCOUNT, AccountHash, SlotUsage
from ._ids import EndpointId, InstanceId, ServiceId

JobId = t.NewType("JobId", int)

NO_SERVICE = ServiceId("")
OVERDUE_S = 4.0  # after its predicted end, a job is removed
FIRST_EVENT_TOLERANCE_S = 0.15  # largest deviation from the prediction that isn't sent
OVERRUN_MS = 100.0  # expected remaining time of a job past its predicted end


@dataclasses.dataclass(slots=True)
class Job:
    """One request at an engine and its helpers.

    :param origin: the instance that placed it.
    :param endpoint: the engine that decodes the answer.
    :param helpers: engines that prefill a part of the prompt.
    :param output_tokens: expected length of the answer.
    :param part_ms: prefill time at the endpoint and at each helper.
    :param gap_ms: longest permitted time between two events.
    :param first_event_target_ms: time from its placement until its first event is
        late; infinite if that does not matter.
    :param weight: value of an answer that is on time.
    :param reserved_by_endpoint: memory reserved at engines other than the endpoint, in
        tokens.
    :param account: the client account that it is for.
    :param is_less_urgent: a route of the service has a higher priority.
    :param deprioritized: whether other requests at its endpoint run first, because
        this one will be late anyway.
    :param service: the service of its endpoint, once it is placed.
    :param decode_ms: predicted time from the first event to the last.
    :param first_event_at: time of the first event, predicted or seen.
    :param ends_at: predicted time of the end.
    :param first_event_confirmed: whether its first event was seen here or reported
        by another instance, not only predicted.
    """

    id: JobId
    origin: InstanceId
    endpoint: EndpointId
    helpers: tuple[EndpointId, ...]
    prompt_tokens: int
    output_tokens: int
    part_ms: float
    gap_ms: float
    weight: float
    placed_at: float = 0.0
    reserved_by_endpoint: t.Mapping[EndpointId, int] = dataclasses.field(
        default_factory=dict
    )
    deprioritized: bool = False
    first_event_target_ms: float = math.inf
    account: AccountHash = NO_ACCOUNT
    is_less_urgent: bool = False
    service: ServiceId = NO_SERVICE
    decode_ms: float = 0.0
    first_event_at: float = 0.0
    ends_at: float = 0.0
    first_event_confirmed: bool = False

    @property
    def engines(self) -> tuple[EndpointId, ...]:
        """All engines that prefill a part of the prompt."""
        return (self.endpoint, *self.helpers)

    @property
    def is_shared(self) -> bool:
        """Whether several engines prefill its prompt."""
        return bool(self.helpers)

    @property
    def kv_tokens(self) -> int:
        """Memory that the job takes at its endpoint, in tokens."""
        return (
            self.prompt_tokens
            + self.output_tokens
            - sum(self.reserved_by_endpoint.values())
        )

    def has_begun(self, now: float) -> bool:
        """Return whether its first event has come.

        Instances don't report first events that come as predicted, so the
        predicted time counts where no event was reported.
        """
        return self.first_event_confirmed or now >= self.first_event_at

    def matches_prediction(self, now: float) -> bool:
        """Return whether all instances have predicted the first event for about now."""
        return (
            not self.deprioritized
            and abs(now - self.first_event_at) <= FIRST_EVENT_TOLERANCE_S
        )

    def remaining_ms(self, now: float) -> float:
        """Return the predicted time until it ends, in milliseconds."""
        remaining_ms = (self.ends_at - now) * 1000
        return max(remaining_ms, OVERRUN_MS if self.has_begun(now) else self.decode_ms)


class PendingFirstEvent(t.NamedTuple):
    """A prompt that an engine still prefills; all times are from now on.

    :param due_ms: predicted time to its first event.
    :param target_ms: time until its first event is late.
    :param weight: value of an answer that is on time.
    """

    job: JobId
    due_ms: float
    target_ms: float
    weight: float


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """Present load of one engine.

    :param prefill_ms: time until its pending prefills are done.
    :param requests: requests whose main engine it is, also those not begun.
    :param decoding_requests: requests that it decodes now.
    :param context_tokens: prompt tokens of its requests.
    :param kv_tokens: memory that is taken or reserved, in tokens.
    :param helper_prefills: unfinished prefills that it does for other engines.
    :param deprioritized: requests that have not begun and run after the others.
    :param remaining_ms: predicted time until each request ends, the soonest first.
    :param weighted_gaps_ms: (permitted time between events, weight) of each request.
    :param pending_first_events: prompts whose first event a further shared prefill
        would postpone.
    """

    prefill_ms: float = 0.0
    requests: int = 0
    decoding_requests: int = 0
    context_tokens: float = 0.0
    kv_tokens: int = 0
    helper_prefills: int = 0
    deprioritized: int = 0
    remaining_ms: list[float] = dataclasses.field(default_factory=list)
    weighted_gaps_ms: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    pending_first_events: list[PendingFirstEvent] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class _Prefill:
    """The part of a job that one engine prefills.

    :param ends_at: predicted time at which it is done.
    """

    job: Job
    ends_at: float

    def unfinished_s(self, now: float) -> float:
        """Return the part of its time that is still to come, in seconds."""
        return min(self.job.part_ms / 1000, max(0.0, self.ends_at - now))

    def postpone(self, delay_s: float) -> None:
        """Move its end, and the first event of its job if that waits for it."""
        self.ends_at += delay_s
        job = self.job
        if job.first_event_confirmed or self.ends_at <= job.first_event_at:
            return
        job.ends_at += self.ends_at - job.first_event_at
        job.first_event_at = self.ends_at


@dataclasses.dataclass(slots=True)
class _EngineState:
    """Jobs of one engine.

    :ivar job_by_id: jobs that it decodes.
    :ivar prefill_by_id: parts of prompts that it prefills or has prefilled.
    :ivar reservation_by_id: jobs of other engines for which it reserves memory.
    :ivar prefill_until: predicted time at which its pending prefills are done.
    """

    job_by_id: dict[JobId, Job] = dataclasses.field(default_factory=dict)
    prefill_by_id: dict[JobId, _Prefill] = dataclasses.field(default_factory=dict)
    reservation_by_id: dict[JobId, Job] = dataclasses.field(default_factory=dict)
    prefill_until: float = 0.0

    def add_prefill(self, job: Job, now: float) -> None:
        """Add a job's part, and predict when it is done.

        A part of a shared prefill goes ahead of all prefills that are pending; the
        prefill of a whole prompt goes behind them. While the engine decodes, what is
        pending belongs to its present pass, which is completed first.
        """
        part_s = job.part_ms / 1000
        if job.is_shared and not self._is_decoding(now):
            for prefill in self._pending(now):
                prefill.postpone(part_s)
            ends_at = now + part_s
        else:
            ends_at = max(now, self.prefill_until) + part_s
        self.prefill_by_id[job.id] = _Prefill(job, ends_at)
        job.first_event_at = max(job.first_event_at, ends_at)
        if not job.deprioritized:
            self.prefill_until = max(now, self.prefill_until) + part_s

    def remove_prefill(self, job: Job, now: float) -> None:
        """Remove a job's part; what it has not used of its time is free again."""
        removed = self.prefill_by_id.pop(job.id, None)
        if removed is None or job.deprioritized:
            return
        unfinished_s = removed.unfinished_s(now)
        if not unfinished_s:
            return
        for prefill in self._pending(now):
            if prefill.ends_at > removed.ends_at:
                prefill.ends_at -= unfinished_s
        self.prefill_until = max(now, self.prefill_until - unfinished_s)

    def pending_first_events(self, now: float) -> list[PendingFirstEvent]:
        """Return the prompts whose prefill here is not done."""
        return [
            PendingFirstEvent(
                prefill.job.id,
                (prefill.job.first_event_at - now) * 1000,
                prefill.job.first_event_target_ms
                - (now - prefill.job.placed_at) * 1000,
                prefill.job.weight,
            )
            for prefill in self._pending(now)
        ]

    def _is_decoding(self, now: float) -> bool:
        return any(job.has_begun(now) for job in self.job_by_id.values())

    def _pending(self, now: float) -> list[_Prefill]:
        return [
            prefill
            for prefill in self.prefill_by_id.values()
            if prefill.ends_at > now and not prefill.job.first_event_confirmed
        ]


class EngineLoadTracker:
    """Tracks the jobs of all engines and predicts the engines' load.

    :param service_of: returns the service of an endpoint, ``NO_SERVICE`` if it isn't
        known.
    """

    def __init__(
        self, service_of: t.Callable[[EndpointId], ServiceId] = lambda _: NO_SERVICE
    ) -> None:
        self._service_of = service_of
        self._state_by_endpoint: dict[EndpointId, _EngineState] = {}
        self._job_by_id: dict[JobId, Job] = {}
        self._usage_by_service: dict[ServiceId, SlotUsage] = {}

    def __len__(self) -> int:
        return len(self._job_by_id)

    def get(self, job_id: JobId) -> Job | None:
        """Return a job that has not ended."""
        return self._job_by_id.get(job_id)

    def usage(self, service: ServiceId) -> SlotUsage:
        """Return the jobs of a service by account and urgency."""
        return self._usage_by_service.setdefault(service, SlotUsage())

    def count_accounts(self) -> int:
        """Return the number of client accounts that have jobs."""
        usages = self._usage_by_service.values()
        return len({account for usage in usages for account in usage.accounts()})

    def place(self, job: Job, decode_ms: float, now: float) -> None:
        """Add a job, and predict its first event and its end.

        :param decode_ms: predicted time from the first event to the last.
        """
        if job.id in self._job_by_id:
            return
        self._job_by_id[job.id] = job
        job.service = self._service_of(job.endpoint)
        self.usage(job.service).add(job.account, job.is_less_urgent)
        for endpoint in job.engines:
            state = self._state_by_endpoint.setdefault(endpoint, _EngineState())
            state.add_prefill(job, now)
        for endpoint in job.reserved_by_endpoint:
            self._state_by_endpoint.setdefault(
                endpoint, _EngineState()
            ).reservation_by_id[job.id] = job
        self._state_by_endpoint[job.endpoint].job_by_id[job.id] = job
        job.decode_ms = decode_ms
        job.ends_at = job.first_event_at + decode_ms / 1000

    def begin(self, job_id: JobId, now: float) -> None:
        """Record that a job's first event has come, and its prefill is done."""
        job = self._job_by_id.get(job_id)
        if job is None or job.first_event_confirmed:
            return
        job.first_event_confirmed = True
        job.ends_at = now + job.decode_ms / 1000
        job.first_event_at = now
        self._end_prefill(job, now)

    def end(self, job_id: JobId, now: float) -> Job | None:
        """Remove a job that has ended in any way, and return it."""
        job = self._job_by_id.pop(job_id, None)
        if job is None:
            return None
        self.usage(job.service).remove(job.account, job.is_less_urgent)
        self._end_prefill(job, now)
        self._state_by_endpoint[job.endpoint].job_by_id.pop(job_id, None)
        for endpoint in job.reserved_by_endpoint:
            if endpoint in self._state_by_endpoint:
                self._state_by_endpoint[endpoint].reservation_by_id.pop(job_id, None)
        return job

    def remove_jobs_of(self, origin: InstanceId, now: float) -> None:
        """Remove all jobs that an instance placed, after it has left or died."""
        for job in list(self._job_by_id.values()):
            if job.origin == origin:
                self.end(job.id, now)

    def jobs_of(self, origin: InstanceId) -> list[Job]:
        """Return the unfinished jobs that an instance placed."""
        return [job for job in self._job_by_id.values() if job.origin == origin]

    def expire(self, now: float) -> None:
        """Remove overdue jobs, whose end was never reported."""
        for job in list(self._job_by_id.values()):
            if now > job.ends_at + OVERDUE_S:
                self.end(job.id, now)

    def forget(self, endpoint: EndpointId, now: float) -> None:
        """Remove an endpoint that is no longer listed, with its jobs."""
        state = self._state_by_endpoint.pop(endpoint, None)
        if state is None:
            return
        self._state_by_endpoint[endpoint] = _EngineState()
        for job in list(state.job_by_id.values()):
            self.end(job.id, now)
        del self._state_by_endpoint[endpoint]

    def requests(self, endpoint: EndpointId) -> int:
        """Return for how many requests an endpoint is the main engine."""
        state = self._state_by_endpoint.get(endpoint)
        return len(state.job_by_id) if state else 0

    def prefill_until(self, endpoint: EndpointId) -> float:
        """Return the predicted time at which an engine has no pending prefills."""
        state = self._state_by_endpoint.get(endpoint)
        return state.prefill_until if state else 0.0

    def load(self, endpoint: EndpointId, now: float) -> EngineLoad:
        """Return the present load of an engine."""
        state = self._state_by_endpoint.get(endpoint)
        load = EngineLoad()
        if state is None:
            return load
        load.prefill_ms = max(0.0, state.prefill_until - now) * 1000
        load.requests = len(state.job_by_id)
        for job in state.job_by_id.values():
            load.kv_tokens += job.kv_tokens
            load.context_tokens += job.prompt_tokens
            load.weighted_gaps_ms.append((job.gap_ms, job.weight))
            load.decoding_requests += job.has_begun(now)
            load.deprioritized += job.deprioritized and not job.first_event_confirmed
            load.remaining_ms.append(job.remaining_ms(now))
        load.remaining_ms.sort()
        load.helper_prefills = sum(
            prefill.job.endpoint != endpoint and not prefill.job.has_begun(now)
            for prefill in state.prefill_by_id.values()
        )
        if not load.decoding_requests:
            load.pending_first_events = state.pending_first_events(now)
        for job in state.reservation_by_id.values():
            load.kv_tokens += job.reserved_by_endpoint[endpoint]
        return load

    def _end_prefill(self, job: Job, now: float) -> None:
        for endpoint in job.engines:
            state = self._state_by_endpoint.get(endpoint)
            if state is not None:
                state.remove_prefill(job, now)
                if not state.prefill_by_id:
                    state.prefill_until = min(state.prefill_until, now)
