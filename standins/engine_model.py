"""A model engine: continuous batching, bounded KV memory, priorities, resume.

An attempt's KV memory stays held until its stream has delivered the end, or it
is cancelled: that is what lets a stream be resumed, and what an orphan costs.
"""

import collections
import dataclasses
import hashlib
import typing as t

import trio

from . import cost
from .common import FOREVER_S, Knobs
from .prefix_cache import PrefixCache, blocks_of

WORDS = (
    "axle",
    "bolt",
    "brake",
    "cable",
    "chain",
    "clamp",
    "crack",
    "disc",
    "fault",
    "gear",
    "hinge",
    "joint",
    "lever",
)
KEPT_RECORDS = 20_000


def word(digest: bytes, index: int) -> str:
    """Return token ``index`` of the answer to the prompt with this digest."""
    pick = digest[index % len(digest)] + index
    return f"{WORDS[pick % len(WORDS)]}{index} "


def digest_of(prompt: str) -> bytes:
    """Return the digest that an answer is made from."""
    return hashlib.sha256(prompt.encode()).digest()


def expected_answer(prompt: str, count: int) -> str:
    """Return the whole answer that any engine gives to a prompt."""
    digest = digest_of(prompt)
    return "".join(word(digest, index) for index in range(count))


@dataclasses.dataclass
class EngineKnobs(Knobs):
    """Faults of an engine.

    :param load_lag_s: time between two snapshots of the load report.
    :param silent: open streams go silent for good; new ones work.
    :param crash_marker: the engine crashes at a prompt that holds this text.
    :param crossed: each stream also carries another attempt's tokens.
    :param keepalive_s: time between comments on a waiting stream; 0 for none.
    :param load_model_s: time that loading a model's weights takes.
    :param cache_lag_s: how late cache events are published.
    :param cache_gap_every: each so many-th cache event is lost; 0 for none.
    """

    load_lag_s: float = 0.5
    silent: int = 0
    crash_marker: str = ""
    crossed: bool = False
    keepalive_s: float = 1.0
    load_model_s: float = 3.0
    cache_lag_s: float = 0.5
    cache_gap_every: int = 0


@dataclasses.dataclass
class Sequence:
    """One attempt at the engine.

    :param part: a part of a larger prompt, whose memory is reserved already.
    """

    attempt: str
    digest: bytes
    prompt_tokens: int
    max_tokens: int
    priority: float
    start: int
    remaining: float
    blocks: list[bytes]
    crashes: bool = False
    part: bool = False
    admitted: bool = False
    count: int = 0
    news: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache that the sequence takes."""
        if self.part:
            return 0
        return self.prompt_tokens + self.max_tokens

    @property
    def done(self) -> bool:
        """Whether all work on the sequence is done."""
        return self.remaining <= 0 and self.count >= self.max_tokens

    def tell(self) -> None:
        """Wake the streams that wait for the next token."""
        self.news.set()
        self.news = trio.Event()


class EngineModel:
    """The engine without its HTTP face.

    :param on_crash: called when a prompt crashes the engine.
    """

    def __init__(
        self,
        incarnation: str,
        on_crash: t.Callable[[], None],
        capacity_tokens: int = cost.CAPACITY_TOKENS,
        checks_orders: bool = True,
    ) -> None:
        self.incarnation = incarnation
        self.capacity_tokens = capacity_tokens
        self.checks_orders = checks_orders
        self.knobs = EngineKnobs()
        self.leaving = False
        self.order_number = 0
        self.orders: list[dict[str, t.Any]] = []
        self._wanted_models: set[str] = set()
        self._load_until = 0.0
        self.by_attempt: dict[str, Sequence] = {}
        self.reserved_by_name: dict[str, int] = {}
        self.ran: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=KEPT_RECORDS
        )
        self.finished: set[str] = set()
        self.arrivals: collections.deque[float] = collections.deque(maxlen=KEPT_RECORDS)
        self.cache = PrefixCache(capacity_tokens // cost.CACHE_BLOCK_TOKENS)
        self._on_crash = on_crash
        self._wake = trio.Event()
        self._snapshot: tuple[float, dict[str, t.Any]] | None = None

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache that are taken."""
        sequences = sum(s.held_tokens for s in self.by_attempt.values() if s.admitted)
        return sequences + sum(self.reserved_by_name.values())

    def submit(self, attempt: str, prompt: str, body: dict[str, t.Any]) -> Sequence:
        """Start an attempt, or return the one that is known by this name."""
        known = self.by_attempt.get(attempt)
        if known is not None:
            return known
        start = int(body.get("resume_from", 0))
        self.reserved_by_name.pop(attempt, None)
        imported = sum(part["tokens"] for part in body.get("kv_imports", ()))
        prompt_tokens = max(1, cost.tokens_of(prompt) - imported)
        blocks = blocks_of(prompt, str(body.get("cache_salt", "")))
        marker = self.knobs.crash_marker
        sequence = Sequence(
            attempt=attempt,
            digest=digest_of(prompt),
            prompt_tokens=prompt_tokens,
            max_tokens=int(body["max_tokens"]),
            priority=float(body.get("priority", 0)),
            start=start,
            remaining=max(1, prompt_tokens + start - self.cache.cached_tokens(blocks)),
            blocks=blocks,
            crashes=bool(marker) and marker in prompt,
            count=start,
        )
        self.by_attempt[attempt] = sequence
        self.ran.append((attempt, prompt_tokens))
        self._wake.set()
        return sequence

    def cancel(self, name: str) -> bool:
        """Free an attempt or a reservation; false when it is not known."""
        self.reserved_by_name.pop(name, None)
        sequence = self.by_attempt.pop(name, None)
        if sequence is None:
            return False
        sequence.tell()
        self._wake.set()
        return True

    def reserve(self, name: str, tokens: int) -> bool:
        """Hold KV memory under a name; false when there is no room."""
        if self.held_tokens + tokens > self.capacity_tokens:
            return False
        self.reserved_by_name[name] = tokens
        return True

    def prefill(self, name: str, text: str, priority: float) -> bool:
        """Prefill a part of a prompt into reserved memory."""
        if name not in self.reserved_by_name:
            return False
        if name not in self.by_attempt:
            tokens = cost.tokens_of(text)
            part = Sequence(
                attempt=name,
                digest=digest_of(text),
                prompt_tokens=tokens,
                max_tokens=0,
                priority=priority,
                start=0,
                remaining=tokens,
                blocks=[],
                part=True,
            )
            self.by_attempt[name] = part
            self._wake.set()
        return True

    def state(self, attempt: str) -> str | None:
        """Return what became of an attempt, ``None`` when it is not known."""
        if attempt in self.finished:
            return "finished"
        sequence = self.by_attempt.get(attempt)
        if sequence is None:
            return "running" if attempt in self.reserved_by_name else None
        return "finished" if sequence.part and sequence.done else "running"

    def order(self, order: dict[str, t.Any]) -> bool:
        """Carry out an order; false when its fencing number is too old."""
        if self.checks_orders and order["number"] < self.order_number:
            return False
        self.order_number = max(self.order_number, order["number"])
        self.orders.append(order)
        self._load_until = trio.current_time() + self.knobs.load_model_s
        self._wanted_models = set(order["models"])
        return True

    @property
    def models(self) -> set[str]:
        """The models that are loaded by now."""
        if trio.current_time() < self._load_until:
            return set()
        return self._wanted_models

    def load(self) -> dict[str, t.Any]:
        """Return the load report, as old as the lag makes it."""
        now = trio.current_time()
        if self._snapshot is None or now - self._snapshot[0] >= self.knobs.load_lag_s:
            self._snapshot = (now, self._report())
        taken_at, report = self._snapshot
        return {
            **report,
            "leaving": self.leaving,
            "age_s": now - taken_at,
            "cache_head": self.cache.published_head(self.knobs.cache_lag_s),
        }

    async def tokens(
        self, sequence: Sequence, offset: int
    ) -> t.AsyncIterator[tuple[int, str | None]]:
        """Iterate over (offset, text); text is ``None`` at the end."""
        epoch = self.knobs.silent
        while True:
            if self.knobs.silent > epoch:
                await trio.sleep(FOREVER_S)
            if sequence.attempt not in self.by_attempt:
                return
            while offset < sequence.count:
                yield offset, word(sequence.digest, offset)
                offset += 1
            if sequence.done:
                yield offset, None
                self._finish(sequence)
                return
            if not await self._wait_for_news(sequence):
                yield -1, None

    async def run(self) -> None:
        """Run the batch for ever."""
        while True:
            if self._step_work():
                await self._step()
            else:
                self._wake = trio.Event()
                await self._wake.wait()
            while self.knobs.frozen:
                await trio.sleep(0.05)

    async def _wait_for_news(self, sequence: Sequence) -> bool:
        with trio.move_on_after(self.knobs.keepalive_s or FOREVER_S) as scope:
            await sequence.news.wait()
        return not scope.cancelled_caught

    def _finish(self, sequence: Sequence) -> None:
        self.by_attempt.pop(sequence.attempt, None)
        self.finished.add(sequence.attempt)
        self._wake.set()

    def _report(self) -> dict[str, t.Any]:
        remaining = {s.attempt: s.remaining for s in self.by_attempt.values()}
        reserved = dict.fromkeys(self.reserved_by_name, 0.0)
        return {
            "incarnation": self.incarnation,
            "remaining_by_attempt": {**reserved, **remaining},
            "held_tokens": self.held_tokens,
            "models": sorted(self.models),
        }

    def _step_work(self) -> bool:
        self._admit_waiting()
        return any(s.admitted and not s.done for s in self.by_attempt.values())

    def _admit_waiting(self) -> None:
        waiting = [s for s in self.by_attempt.values() if not s.admitted]
        for sequence in sorted(waiting, key=lambda s: s.priority):
            if self.held_tokens + sequence.held_tokens <= self.capacity_tokens:
                sequence.admitted = True

    async def _step(self) -> None:
        """One step: a chunk of the first prefill, a token of each decode."""
        admitted = [s for s in self.by_attempt.values() if s.admitted and not s.done]
        prefills = [s for s in admitted if s.remaining > 0]
        decodes = [s for s in admitted if s.remaining <= 0]
        first = min(prefills, key=lambda s: s.priority, default=None)
        chunk = min(cost.PREFILL_CHUNK_TOKENS, first.remaining) if first else 0
        step_s = chunk / cost.PREFILL_TOKENS_PER_S
        if decodes:
            step_s = max(step_s, cost.decode_interval_s(len(decodes)))
        await trio.sleep(step_s)
        if first is not None:
            self._prefill(first, chunk)
        for sequence in decodes:
            sequence.count += 1
            sequence.tell()

    def _prefill(self, sequence: Sequence, chunk: float) -> None:
        sequence.remaining -= chunk
        if sequence.remaining > 0:
            return
        if sequence.crashes:
            self._on_crash()
        self.cache.remember(sequence.blocks, self.knobs.cache_gap_every)
        sequence.count += not sequence.part
        sequence.tell()
