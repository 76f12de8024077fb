"""Model engines that work in passes, as a simulation without network.

Time advances from event to event, so that minutes of load take a second. An
engine reads prompts between the steps of those that write: first the parts that
it reads for others, then its own in the order of priority. Used by tests and
measurements of placement; what the users' engines do beyond the published rules
is not imitated.
"""

import dataclasses
import heapq
import itertools
import typing as t

from foxtailsaddle.core import EndpointId, EngineTime


@dataclasses.dataclass
class Prompt:
    """One request on its way through the engines.

    :param gap_ms: longest pause between its events that counts as prompt.
    :param priority: the lowest is admitted and read first.
    """

    number: int
    at_ms: float
    tokens: int
    output_tokens: int
    aim_ms: float
    gap_ms: float
    weight: float
    priority: int = 0
    parts_left: int = 0
    first_ms: float | None = None
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    written: int = 0
    ended_ms: float | None = None

    @property
    def is_prompt(self) -> bool:
        """Whether its first event and all pauses were in time."""
        if self.first_ms is None or self.ended_ms is None:
            return False
        in_aim = self.first_ms - self.at_ms <= self.aim_ms
        return in_aim and self.longest_gap_ms <= self.gap_ms


@dataclasses.dataclass
class _Part:
    prompt: Prompt
    left_ms: float
    tokens: int
    is_own: bool


class PassEngine:
    """One engine.

    :param pace: how many times slower than published it is.
    """

    def __init__(self, id: str, time: EngineTime, pace: float = 1.0) -> None:
        self.id = EndpointId(id)
        self.pace = pace
        self._time = time
        self._parts: list[_Part] = []
        self._waiting: list[Prompt] = []
        self._writers: list[Prompt] = []
        self._ready: list[Prompt] = []
        self.runs = False

    def read(self, prompt: Prompt, part_ms: float, tokens: int, is_own: bool) -> None:
        """Take a part of a prompt to read."""
        self._parts.append(_Part(prompt, part_ms, tokens, is_own))

    def admit(self, prompt: Prompt) -> None:
        """Take a prompt whose answer is written here."""
        self._waiting.append(prompt)

    def begin_pass(self) -> float | None:
        """Return how long the next pass takes, ``None`` without work."""
        self._admit_waiting()
        if not (self._parts or self._writers):
            return None
        spec = self._time.spec
        steps = spec.stride if self._writers else 1
        context = sum(prompt.tokens for prompt in self._writers)
        writing_ms = 0.0
        if self._writers:
            writing_ms = steps * self._time.step_ms(len(self._writers), context)
        reading_ms = self._read(spec.chunk_tokens * steps)
        return self.pace * (writing_ms + reading_ms)

    def end_pass(self, now_ms: float) -> list[Prompt]:
        """Write events; return the prompts that have begun or ended."""
        told = []
        for prompt in self._writers:
            is_first = prompt.first_ms is None
            _note_event(prompt, now_ms)
            prompt.written += self._time.spec.stride
            if prompt.written >= prompt.output_tokens:
                prompt.ended_ms = now_ms
            if is_first or prompt.ended_ms is not None:
                told.append(prompt)
        self._writers = [p for p in self._writers if p.ended_ms is None]
        started = [prompt for prompt in self._ready if not prompt.parts_left]
        self._ready = [prompt for prompt in self._ready if prompt.parts_left]
        self._writers += started
        return told

    def _admit_waiting(self) -> None:
        room = self._time.spec.slots - len(self._writers) - len(self._ready)
        self._waiting.sort(key=lambda prompt: prompt.priority)
        for prompt in self._waiting[: max(0, room)]:
            self._ready.append(prompt)
        del self._waiting[: max(0, room)]

    def _read(self, tokens: float) -> float:
        """Read up to so many tokens; parts for others go first."""
        taken_ms = 0.0
        ready = {prompt.number for prompt in self._ready}
        self._parts.sort(key=lambda part: (part.is_own, part.prompt.priority))
        for part in list(self._parts):
            if part.is_own and part.prompt.number not in ready:
                continue
            if tokens <= 0:
                break
            share = min(1.0, tokens / part.tokens) if part.tokens else 1.0
            taken_ms += part.left_ms * share
            tokens -= part.tokens * share
            part.left_ms *= 1 - share
            part.tokens = int(part.tokens * (1 - share))
            if share == 1.0:
                self._parts.remove(part)
                part.prompt.parts_left -= 1
        return taken_ms


Place = tuple[EndpointId, t.Sequence[EndpointId]]
POLL_MS = 5.0


class PassFleet:
    """Engines and the load on them.

    :param place: chooses the engine that writes and those that help to read;
        ``None`` lets the prompt wait where it arrived.
    :param on_event: told of each first event and each end, as instances are.
    :param call_next: asked every 5 ms, while prompts wait, who goes where.
    """

    def __init__(
        self,
        engines: t.Sequence[PassEngine],
        time: EngineTime,
        place: t.Callable[[Prompt, float], Place | None],
        on_event: t.Callable[[Prompt, float], None] = lambda prompt, now_ms: None,
        call_next: t.Callable[[float], tuple[Prompt, Place] | None] = lambda _: None,
    ) -> None:
        self._engine_by_id = {engine.id: engine for engine in engines}
        self._time = time
        self._place = place
        self._on_event = on_event
        self._call_next = call_next
        self._waiting = 0
        self._order = itertools.count()
        self._queue: list[tuple[float, int, t.Any]] = []

    def run(self, prompts: t.Iterable[Prompt]) -> None:
        """Play a load to its end."""
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
        heapq.heappush(self._queue, (at_ms, next(self._order), item))

    def _arrive(self, prompt: Prompt, now_ms: float) -> None:
        place = self._place(prompt, now_ms)
        if place is not None:
            self._start(prompt, place, now_ms)
            return
        self._waiting += 1
        if self._waiting == 1:
            self._push(now_ms + POLL_MS, None)

    def _poll(self, now_ms: float) -> None:
        while called := self._call_next(now_ms):
            self._waiting -= 1
            self._start(*called, now_ms)
        if self._waiting:
            self._push(now_ms + POLL_MS, None)

    def _start(self, prompt: Prompt, place: Place, now_ms: float) -> None:
        main, helpers = place
        parts = 1 + len(helpers)
        prompt.parts_left = parts
        part_ms = self._time.prefill_ms(prompt.tokens, parts)
        for id in (main, *helpers):
            engine = self._engine_by_id[id]
            engine.read(prompt, part_ms, prompt.tokens // parts, id == main)
            if id == main:
                engine.admit(prompt)
            self._wake(engine, now_ms)

    def _wake(self, engine: PassEngine, now_ms: float) -> None:
        if engine.runs:
            return
        pass_ms = engine.begin_pass()
        if pass_ms is None:
            return
        engine.runs = True
        self._push(now_ms + max(pass_ms, 0.5), engine)

    def _end_pass(self, engine: PassEngine, now_ms: float) -> None:
        engine.runs = False
        for prompt in engine.end_pass(now_ms):
            self._on_event(prompt, now_ms)
        for other in self._engine_by_id.values():
            self._wake(other, now_ms)


def _note_event(prompt: Prompt, now_ms: float) -> None:
    if prompt.first_ms is None:
        prompt.first_ms = now_ms
    else:
        gap_ms = now_ms - prompt.last_event_ms
        prompt.longest_gap_ms = max(prompt.longest_gap_ms, gap_ms)
    prompt.last_event_ms = now_ms
