"""Model of an engine: continuous batching, bounded KV cache, priorities, resume.

An attempt occupies KV cache until its stream has delivered the end or it is
cancelled. This allows a stream to be resumed; an orphaned attempt keeps its KV
cache occupied.
"""

import collections
import dataclasses
import hashlib
import typing as t

import trio

from . import cost
from .common import FOREVER_S, Knobs
from .prefix_cache import PrefixCache, block_digests

VOCABULARY = (
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
MAX_RECORDS = 20_000


def token_text(digest: bytes, index: int) -> str:
    """Return the text of token ``index`` of the answer to a prompt.

    :param digest: from :func:`prompt_digest`.
    """
    pick = digest[index % len(digest)] + index
    return f"{VOCABULARY[pick % len(VOCABULARY)]}{index} "


def prompt_digest(prompt: str) -> bytes:
    """Return the digest from which the answer to a prompt is derived."""
    return hashlib.sha256(prompt.encode()).digest()


def expected_answer(prompt: str, count: int) -> str:
    """Return the answer of ``count`` tokens that every engine gives to a prompt."""
    digest = prompt_digest(prompt)
    return "".join(token_text(digest, index) for index in range(count))


@dataclasses.dataclass
class EngineKnobs(Knobs):
    """Faults of an engine.

    :param load_lag_s: seconds between two snapshots of the load report.
    :param silent: when raised, open streams send nothing any more; streams that
        are opened later work.
    :param crash_marker: a prompt that contains this text crashes the engine.
    :param crossed: each stream also carries tokens of another attempt.
    :param keepalive_s: seconds between comments on a waiting stream; 0 for none.
    :param load_model_s: seconds that loading the weights of a model takes.
    :param cache_lag_s: delay of cache events, in seconds.
    :param cache_gap_every: every n-th cache event is lost; 0 for none.
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

    :param digest: digest of the prompt, from which the answer is derived.
    :param priority: lower values are admitted and prefilled first.
    :param resume_offset: index of the first token that is generated.
    :param remaining_prefill_tokens: tokens that are still to be prefilled.
    :param blocks: digests of the prompt's cache blocks.
    :param triggers_crash: the engine crashes at the end of the prefill.
    :param is_part: a part of a larger prompt, whose KV cache is reserved already.
    :param generated_tokens: index after the last generated token.
    :param progress: set at the next change of the sequence.
    """

    attempt: str
    digest: bytes
    prompt_tokens: int
    max_tokens: int
    priority: float
    resume_offset: int
    remaining_prefill_tokens: float
    blocks: list[bytes]
    triggers_crash: bool = False
    is_part: bool = False
    admitted: bool = False
    generated_tokens: int = 0
    progress: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache that the sequence occupies besides reservations."""
        if self.is_part:
            return 0
        return self.prompt_tokens + self.max_tokens

    @property
    def done(self) -> bool:
        """Whether the prompt is prefilled and all tokens are generated."""
        return (
            self.remaining_prefill_tokens <= 0
            and self.generated_tokens >= self.max_tokens
        )

    def notify(self) -> None:
        """Wake the streams that wait for progress of the sequence."""
        self.progress.set()
        self.progress = trio.Event()


class EngineModel:
    """The engine without its HTTP API.

    :param incarnation: identifies this run of the engine.
    :param on_crash: called when a prompt crashes the engine.
    :param capacity_tokens: size of the KV cache in tokens.
    :param checks_orders: refuse orders with an outdated fencing number.
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
        self._ordered_models: set[str] = set()
        self._models_ready_at = 0.0
        self.sequence_by_attempt: dict[str, Sequence] = {}
        self.reserved_by_name: dict[str, int] = {}
        self.ran: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=MAX_RECORDS
        )
        self.finished: set[str] = set()
        self.arrivals: collections.deque[float] = collections.deque(maxlen=MAX_RECORDS)
        self.cache = PrefixCache(capacity_tokens // cost.CACHE_BLOCK_TOKENS)
        self._on_crash = on_crash
        self._wake = trio.Event()
        self._snapshot: tuple[float, dict[str, t.Any]] | None = None

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache that are occupied or reserved."""
        sequences = sum(
            s.held_tokens for s in self.sequence_by_attempt.values() if s.admitted
        )
        return sequences + sum(self.reserved_by_name.values())

    def submit(self, attempt: str, prompt: str, body: dict[str, t.Any]) -> Sequence:
        """Start an attempt, or return the running attempt with this id."""
        known = self.sequence_by_attempt.get(attempt)
        if known is not None:
            return known
        resume_offset = int(body.get("resume_from", 0))
        self.reserved_by_name.pop(attempt, None)
        imported = sum(part["tokens"] for part in body.get("kv_imports", ()))
        prompt_tokens = max(1, cost.count_tokens(prompt) - imported)
        blocks = block_digests(prompt, str(body.get("cache_salt", "")))
        marker = self.knobs.crash_marker
        sequence = Sequence(
            attempt=attempt,
            digest=prompt_digest(prompt),
            prompt_tokens=prompt_tokens,
            max_tokens=int(body["max_tokens"]),
            priority=float(body.get("priority", 0)),
            resume_offset=resume_offset,
            remaining_prefill_tokens=max(
                1, prompt_tokens + resume_offset - self.cache.cached_tokens(blocks)
            ),
            blocks=blocks,
            triggers_crash=bool(marker) and marker in prompt,
            generated_tokens=resume_offset,
        )
        self.sequence_by_attempt[attempt] = sequence
        self.ran.append((attempt, prompt_tokens))
        self._wake.set()
        return sequence

    def cancel(self, name: str) -> bool:
        """End an attempt or a reservation; return whether it was a known attempt."""
        self.reserved_by_name.pop(name, None)
        sequence = self.sequence_by_attempt.pop(name, None)
        if sequence is None:
            return False
        sequence.notify()
        self._wake.set()
        return True

    def reserve(self, name: str, tokens: int) -> bool:
        """Reserve KV cache under a name; return false if too little is free."""
        if self.held_tokens + tokens > self.capacity_tokens:
            return False
        self.reserved_by_name[name] = tokens
        return True

    def prefill(self, name: str, text: str, priority: float) -> bool:
        """Start to prefill a part of a prompt; return false without a reservation."""
        if name not in self.reserved_by_name:
            return False
        if name not in self.sequence_by_attempt:
            tokens = cost.count_tokens(text)
            part = Sequence(
                attempt=name,
                digest=prompt_digest(text),
                prompt_tokens=tokens,
                max_tokens=0,
                priority=priority,
                resume_offset=0,
                remaining_prefill_tokens=tokens,
                blocks=[],
                is_part=True,
            )
            self.sequence_by_attempt[name] = part
            self._wake.set()
        return True

    def state(self, attempt: str) -> str | None:
        """Return "running" or "finished", ``None`` for an unknown attempt."""
        if attempt in self.finished:
            return "finished"
        sequence = self.sequence_by_attempt.get(attempt)
        if sequence is None:
            return "running" if attempt in self.reserved_by_name else None
        return "finished" if sequence.is_part and sequence.done else "running"

    def order(self, order: dict[str, t.Any]) -> bool:
        """Load the ordered models; return false for an outdated fencing number."""
        if self.checks_orders and order["number"] < self.order_number:
            return False
        self.order_number = max(self.order_number, order["number"])
        self.orders.append(order)
        self._models_ready_at = trio.current_time() + self.knobs.load_model_s
        self._ordered_models = set(order["models"])
        return True

    @property
    def models(self) -> set[str]:
        """The models that are loaded now."""
        if trio.current_time() < self._models_ready_at:
            return set()
        return self._ordered_models

    def load(self) -> dict[str, t.Any]:
        """Return the load report, which is at most ``load_lag_s`` old."""
        now = trio.current_time()
        if self._snapshot is None or now - self._snapshot[0] >= self.knobs.load_lag_s:
            self._snapshot = (now, self._new_load_report())
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
        """Iterate over (offset, text) from ``offset``.

        The text is ``None`` at the end. An offset of -1 is a keepalive.
        """
        silence_count = self.knobs.silent
        while True:
            if self.knobs.silent > silence_count:
                await trio.sleep(FOREVER_S)
            if sequence.attempt not in self.sequence_by_attempt:
                return
            while offset < sequence.generated_tokens:
                yield offset, token_text(sequence.digest, offset)
                offset += 1
            if sequence.done:
                yield offset, None
                self._finish(sequence)
                return
            if not await self._wait_for_progress(sequence):
                yield -1, None

    async def run(self) -> None:
        """Process the batch step by step until cancelled."""
        while True:
            if self._prepare_step():
                await self._step()
            else:
                self._wake = trio.Event()
                await self._wake.wait()
            while self.knobs.frozen:
                await trio.sleep(0.05)

    async def _wait_for_progress(self, sequence: Sequence) -> bool:
        with trio.move_on_after(self.knobs.keepalive_s or FOREVER_S) as scope:
            await sequence.progress.wait()
        return not scope.cancelled_caught

    def _finish(self, sequence: Sequence) -> None:
        self.sequence_by_attempt.pop(sequence.attempt, None)
        self.finished.add(sequence.attempt)
        self._wake.set()

    def _new_load_report(self) -> dict[str, t.Any]:
        remaining = {
            s.attempt: s.remaining_prefill_tokens
            for s in self.sequence_by_attempt.values()
        }
        reserved = dict.fromkeys(self.reserved_by_name, 0.0)
        return {
            "incarnation": self.incarnation,
            "remaining_by_attempt": {**reserved, **remaining},
            "held_tokens": self.held_tokens,
            "models": sorted(self.models),
        }

    def _prepare_step(self) -> bool:
        self._admit_waiting()
        return any(s.admitted and not s.done for s in self.sequence_by_attempt.values())

    def _admit_waiting(self) -> None:
        waiting = [s for s in self.sequence_by_attempt.values() if not s.admitted]
        for sequence in sorted(waiting, key=lambda s: s.priority):
            if self.held_tokens + sequence.held_tokens <= self.capacity_tokens:
                sequence.admitted = True

    async def _step(self) -> None:
        """Run one step: a chunk of the first prefill and a token of each decode."""
        admitted = [
            s for s in self.sequence_by_attempt.values() if s.admitted and not s.done
        ]
        prefills = [s for s in admitted if s.remaining_prefill_tokens > 0]
        decodes = [s for s in admitted if s.remaining_prefill_tokens <= 0]
        first = min(prefills, key=lambda s: s.priority, default=None)
        chunk = (
            min(cost.PREFILL_CHUNK_TOKENS, first.remaining_prefill_tokens)
            if first
            else 0
        )
        step_s = chunk / cost.PREFILL_TOKENS_PER_S
        if decodes:
            step_s = max(step_s, cost.decode_interval_s(len(decodes)))
        await trio.sleep(step_s)
        if first is not None:
            self._prefill(first, chunk)
        for sequence in decodes:
            sequence.generated_tokens += 1
            sequence.notify()

    def _prefill(self, sequence: Sequence, chunk: float) -> None:
        sequence.remaining_prefill_tokens -= chunk
        if sequence.remaining_prefill_tokens > 0:
            return
        if sequence.triggers_crash:
            self._on_crash()
        self.cache.store(sequence.blocks, self.knobs.cache_gap_every)
        sequence.generated_tokens += not sequence.is_part
        sequence.notify()
