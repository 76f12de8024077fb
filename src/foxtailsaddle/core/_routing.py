"""Routing by predicted time to first token.

The owner of an endpoint keeps its book: every prompt placed there, by any
instance, and how much of its prefill is left. A prompt's predicted time is the
work that would run ahead of it, plus its own prefill, over the learnt rate.
"""

import dataclasses
import typing as t

from ._ids import EndpointId

RATE_SMOOTHING = 0.2
LEARN_FROM_TOKENS = 2000
NO_ROOM_PENALTY_S = 1.0
BEHIND_WEIGHT = 0.1
TIE_S = 0.005
RANK_FACTOR = 1.0


@dataclasses.dataclass(slots=True)
class Placement:
    """One prompt at an endpoint.

    :param prompt_tokens: length of the prompt.
    :param remaining: prefill tokens left, as far as the book knows.
    :param held_tokens: tokens of KV cache that it may come to hold.
    :param rank: the priority it was sent with; lower runs first.
    :param until: when the placement is dropped at the latest.
    :param suspect: an endpoint died while it ran this prompt.
    :param alone: no other prefill was here at the same time.
    """

    prompt_tokens: int
    remaining: float
    held_tokens: int
    rank: float
    until: float
    suspect: bool = False
    placed_at: float = 0.0
    alone: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Quote:
    """Predicted seconds to the first token at one endpoint.

    :param behind_s: work at the endpoint that would run after this prompt.
    :param cached_tokens: of the prompt, whose prefix the endpoint has cached.
    :param incarnation: the endpoint's, as its owner last heard.
    """

    endpoint: EndpointId
    wait_s: float
    own_s: float
    behind_s: float = 0.0
    cached_tokens: int = 0
    incarnation: str = ""

    @property
    def total_s(self) -> float:
        """Seconds from dispatch to the first token."""
        return self.wait_s + self.own_s

    @property
    def score(self) -> float:
        """What choosing compares: lower is better.

        Work that would run after this prompt costs it nothing now. It counts
        a little, because later prompts that go there would overtake this one.
        """
        return self.total_s + BEHIND_WEIGHT * self.behind_s


@dataclasses.dataclass(slots=True)
class Book:
    """What one endpoint has been given and how far it must have come.

    :param rate: prefill tokens per second, learnt from first tokens.
    """

    endpoint: EndpointId
    rate: float
    capacity_tokens: int
    by_attempt: dict[str, Placement] = dataclasses.field(default_factory=dict)
    updated_at: float = 0.0

    def place(self, attempt: str, placement: Placement, now: float) -> None:
        """Add a prompt to the book."""
        self.advance(now)
        placement.placed_at = now
        for other in self.by_attempt.values():
            if other.remaining > 0:
                other.alone = placement.alone = False
        self.by_attempt[attempt] = placement

    def prefilled(self, attempt: str, now: float) -> None:
        """Record that the first token of ``attempt`` has come."""
        self.advance(now)
        placement = self.by_attempt.get(attempt)
        if placement is None:
            return
        placement.remaining = 0.0
        if placement.alone and placement.prompt_tokens >= LEARN_FROM_TOKENS:
            self._learn(placement.prompt_tokens, now - placement.placed_at)
        placement.alone = False

    def release(self, attempt: str, now: float) -> None:
        """Remove a prompt that has ended in any way."""
        self.advance(now)
        self.by_attempt.pop(attempt, None)

    def advance(self, now: float) -> None:
        """Let the prefill work run on until ``now``, lowest rank first."""
        budget = max(0.0, now - self.updated_at) * self.rate
        self.updated_at = now
        self._drop_overdue(now)
        waiting = [item for item in self.by_attempt.values() if item.remaining > 0]
        for placement in sorted(waiting, key=lambda item: item.rank):
            done = min(budget, placement.remaining)
            placement.remaining -= done
            budget -= done
            if budget <= 0:
                return

    def correct(
        self, remaining_by_attempt: t.Mapping[str, float], age_s: float
    ) -> None:
        """Take over the endpoint's own, late, word of what is left.

        :param age_s: how old the report is; work done since is allowed for.
        """
        for attempt, reported in remaining_by_attempt.items():
            placement = self.by_attempt.get(attempt)
            if placement is not None:
                least = max(0.0, reported - age_s * self.rate)
                placement.remaining = min(max(placement.remaining, least), reported)

    def _learn(self, tokens: int, seconds: float) -> None:
        if seconds > 0:
            self.rate += RATE_SMOOTHING * (tokens / seconds - self.rate)

    def quote(self, tokens: int, held_tokens: int, rank: float, now: float) -> Quote:
        """Predict the time to first token of a prompt of ``tokens``."""
        self.advance(now)
        own_s = tokens / self.rate
        ahead = self._work_ahead(rank)
        wait_s = ahead / self.rate
        if self.held_tokens + held_tokens > self.capacity_tokens:
            wait_s += NO_ROOM_PENALTY_S
        behind_s = max(0.0, self.backlog_s - ahead / self.rate)
        return Quote(self.endpoint, wait_s, own_s, behind_s)

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache that the placements may come to hold."""
        return sum(item.held_tokens for item in self.by_attempt.values())

    @property
    def has_suspect(self) -> bool:
        """Whether a prompt is here that an endpoint has died under."""
        return any(item.suspect for item in self.by_attempt.values())

    @property
    def backlog_s(self) -> float:
        """Seconds of prefill work in the book."""
        return sum(item.remaining for item in self.by_attempt.values()) / self.rate

    def _work_ahead(self, rank: float) -> float:
        return sum(
            item.remaining for item in self.by_attempt.values() if item.rank <= rank
        )

    def _drop_overdue(self, now: float) -> None:
        overdue = [key for key, item in self.by_attempt.items() if item.until <= now]
        for key in overdue:
            del self.by_attempt[key]


def rank_of(arrived_at: float, tokens: int, rate: float) -> float:
    """Return the engine priority of a prompt; lower runs first.

    Short prompts go ahead of long ones, and a long one that has waited
    ``RANK_FACTOR`` times its own prefill time goes ahead of new short ones, so
    no length starves.
    """
    return arrived_at + RANK_FACTOR * tokens / rate


def best(
    quotes: t.Sequence[Quote],
    pick: t.Callable[[list[Quote]], Quote],
    distance_s: t.Callable[[Quote], float],
) -> Quote | None:
    """Return the quote with the lowest score, or one about as good.

    Instances that decide at the same moment see the same books. Were the very
    lowest always taken, they would meet at one endpoint.

    :param pick: chooses among quotes that are about as good.
    :param distance_s: what reaching the endpoint adds, in seconds.
    """
    if not quotes:
        return None
    cost_s = [quote.score + distance_s(quote) for quote in quotes]
    bound_s = min(cost_s) + TIE_S
    good = [
        quote for quote, cost in zip(quotes, cost_s, strict=True) if cost <= bound_s
    ]
    return pick(good)
