"""Discrete-event simulation of model engines that work in passes, without network.

Time advances from event to event, so that minutes of load are simulated in about
a second. An engine prefills prompts between decode steps: first the parts of shared
prompts, the newest first, then whole prompts by priority. Tests and measurements of
placement use it. It follows the published rules of the platform's engines, and the
order of shared parts that first events show.
"""

import dataclasses
import heapq
import itertools
import typing as t

from foxtailsaddle.core import EndpointId, EngineTime


@dataclasses.dataclass
class Prompt:
    """One request and its progress; all times are in milliseconds.

    :param target_ms: latest time to the first event that counts as in time.
    :param gap_ms: longest pause between events that counts as in time.
    :param weight: value of the request if it is answered in time.
    :param priority: the lowest value is admitted and prefilled first.
    :param remaining_parts: parts of the prompt that are not prefilled yet.
    """

    number: int
    at_ms: float
    tokens: int
    output_tokens: int
    target_ms: float
    gap_ms: float
    weight: float
    priority: int = 0
    remaining_parts: int = 0
    first_ms: float | None = None
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    generated_tokens: int = 0
    ended_ms: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether the first event and all pauses were in time."""
        if self.first_ms is None or self.ended_ms is None:
            return False
        first_in_time = self.first_ms - self.at_ms <= self.target_ms
        return first_in_time and self.longest_gap_ms <= self.gap_ms


@dataclasses.dataclass
class _Part:
    prompt: Prompt
    remaining_ms: float
    tokens: int
    is_own: bool
    is_shared: bool


class PassEngine:
    """One simulated engine.

    :param time: the published speeds.
    :param pace: factor by which the engine is slower than published.
    :ivar is_running: whether a pass is in progress.
    """

    def __init__(self, id: str, time: EngineTime, pace: float = 1.0) -> None:
        self.id = EndpointId(id)
        self.pace = pace
        self._time = time
        self._parts: list[_Part] = []
        self._waiting: list[Prompt] = []
        self._decoding: list[Prompt] = []
        self._admitted: list[Prompt] = []
        self._prefilled: list[Prompt] = []
        self.is_running = False

    def read(
        self,
        prompt: Prompt,
        part_ms: float,
        tokens: int,
        *,
        is_own: bool,
        is_shared: bool,
    ) -> None:
        """Queue the prefill of a part of a prompt.

        :param part_ms: prefill time of the part.
        :param is_own: whether this engine also decodes the answer.
        :param is_shared: whether other engines prefill parts of the same prompt.
        """
        part = _Part(prompt, part_ms, tokens, is_own, is_shared)
        if is_shared:
            self._parts.insert(0, part)
        else:
            self._parts.append(part)

    def admit(self, prompt: Prompt) -> None:
        """Queue a prompt whose answer this engine decodes."""
        self._waiting.append(prompt)

    def begin_pass(self) -> float | None:
        """Start a pass; return its duration in milliseconds, ``None`` without work."""
        self._admit_waiting()
        is_prompt_ready = any(not prompt.remaining_parts for prompt in self._admitted)
        if not (self._parts or self._decoding or is_prompt_ready):
            return None
        spec = self._time.spec
        steps = spec.stride if self._decoding else 1
        context_tokens = sum(prompt.tokens for prompt in self._decoding)
        decode_ms = 0.0
        if self._decoding:
            decode_ms = steps * self._time.step_ms(len(self._decoding), context_tokens)
        prefill_ms = self._prefill(spec.chunk_tokens * steps)
        return self.pace * (decode_ms + prefill_ms)

    def end_pass(self, now_ms: float) -> list[Prompt]:
        """Emit events; return the prompts whose answer has begun or ended."""
        for prompt in self._prefilled:
            prompt.remaining_parts -= 1
        self._prefilled.clear()
        changed = []
        for prompt in self._decoding:
            is_first = prompt.first_ms is None
            _record_event(prompt, now_ms)
            prompt.generated_tokens += self._time.spec.stride
            if prompt.generated_tokens >= prompt.output_tokens:
                prompt.ended_ms = now_ms
            if is_first or prompt.ended_ms is not None:
                changed.append(prompt)
        self._decoding = [p for p in self._decoding if p.ended_ms is None]
        started = [prompt for prompt in self._admitted if not prompt.remaining_parts]
        self._admitted = [prompt for prompt in self._admitted if prompt.remaining_parts]
        self._decoding += started
        return changed

    def _admit_waiting(self) -> None:
        free_slots = self._time.spec.slots - len(self._decoding) - len(self._admitted)
        self._waiting.sort(key=lambda prompt: prompt.priority)
        for prompt in self._waiting[: max(0, free_slots)]:
            self._admitted.append(prompt)
        del self._waiting[: max(0, free_slots)]

    def _prefill(self, tokens: float) -> float:
        """Prefill up to ``tokens`` tokens; return the time that it takes.

        Parts of shared prompts go first, the newest before all others.
        """
        spent_ms = 0.0
        admitted = {prompt.number for prompt in self._admitted}
        self._parts.sort(
            key=lambda part: 0 if part.is_shared else 1 + part.prompt.priority
        )
        for part in list(self._parts):
            if part.is_own and part.prompt.number not in admitted:
                continue
            if tokens <= 0:
                break
            share = min(1.0, tokens / part.tokens) if part.tokens else 1.0
            spent_ms += part.remaining_ms * share
            tokens -= part.tokens * share
            part.remaining_ms *= 1 - share
            part.tokens = int(part.tokens * (1 - share))
            if share == 1.0:
                self._parts.remove(part)
                self._prefilled.append(part.prompt)
        return spent_ms


Placement = tuple[EndpointId, t.Sequence[EndpointId]]
POLL_INTERVAL_MS = 5.0


class PassFleet:
    """Engines and the requests that are sent to them.

    :param place: chooses the engine that decodes and those that help to prefill;
        ``None`` queues the prompt at the instance where it arrived.
    :param on_event: called at the first event and at the end of each answer, of
        which instances also learn.
    :param call_next: called every 5 ms while prompts are queued; returns the next
        prompt to start and its placement.
    """

    def __init__(
        self,
        engines: t.Sequence[PassEngine],
        time: EngineTime,
        place: t.Callable[[Prompt, float], Placement | None],
        on_event: t.Callable[[Prompt, float], None] = lambda prompt, now_ms: None,
        call_next: t.Callable[[float], tuple[Prompt, Placement] | None] = lambda _: (
            None
        ),
    ) -> None:
        self._engine_by_id = {engine.id: engine for engine in engines}
        self._time = time
        self._place = place
        self._on_event = on_event
        self._call_next = call_next
        self._waiting = 0
        self._tie_breaker = itertools.count()
        self._queue: list[tuple[float, int, t.Any]] = []

    def run(self, prompts: t.Iterable[Prompt]) -> None:
        """Simulate the prompts until all of them have ended."""
        for prompt in prompts:
            self._push(prompt.at_ms, prompt)
        while self._queue:
            now_ms, _, item = heapq.heappop(self._queue)
            if isinstance(item, Prompt):
                self._arrive(item, now_ms)
            elif item is None:
                self._poll(now_ms)
            else:
                self._end_pass(item, now_ms)

    def _push(self, at_ms: float, item: t.Any) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._tie_breaker), item))

    def _arrive(self, prompt: Prompt, now_ms: float) -> None:
        placement = self._place(prompt, now_ms)
        if placement is not None:
            self._start(prompt, placement, now_ms)
            return
        self._waiting += 1
        if self._waiting == 1:
            self._push(now_ms + POLL_INTERVAL_MS, None)

    def _poll(self, now_ms: float) -> None:
        while queued := self._call_next(now_ms):
            self._waiting -= 1
            self._start(*queued, now_ms)
        if self._waiting:
            self._push(now_ms + POLL_INTERVAL_MS, None)

    def _start(self, prompt: Prompt, placement: Placement, now_ms: float) -> None:
        main, helpers = placement
        parts = 1 + len(helpers)
        prompt.remaining_parts = parts
        part_ms = self._time.prefill_ms(prompt.tokens, parts)
        for id in (main, *helpers):
            engine = self._engine_by_id[id]
            engine.read(
                prompt,
                part_ms,
                prompt.tokens // parts,
                is_own=id == main,
                is_shared=parts > 1,
            )
            if id == main:
                engine.admit(prompt)
            self._wake(engine, now_ms)

    def _wake(self, engine: PassEngine, now_ms: float) -> None:
        if engine.is_running:
            return
        pass_ms = engine.begin_pass()
        if pass_ms is None:
            return
        engine.is_running = True
        self._push(now_ms + max(pass_ms, 0.5), engine)

    def _end_pass(self, engine: PassEngine, now_ms: float) -> None:
        engine.is_running = False
        for prompt in engine.end_pass(now_ms):
            self._on_event(prompt, now_ms)
        for other in self._engine_by_id.values():
            self._wake(other, now_ms)


def _record_event(prompt: Prompt, now_ms: float) -> None:
    if prompt.first_ms is None:
        prompt.first_ms = now_ms
    else:
        gap_ms = now_ms - prompt.last_event_ms
        prompt.longest_gap_ms = max(prompt.longest_gap_ms, gap_ms)
    prompt.last_event_ms = now_ms
