"""Routing by predicted time to first token.

The instance that owns an endpoint tracks all prompts that any instance has placed
there, and how much of their prefill remains. The predicted time of a prompt is the
work that would run before it plus its own prefill, divided by the prefill rate that
was learnt for the endpoint.
"""

import dataclasses
import typing as t

from ._ids import EndpointId

RATE_LEARNING_WEIGHT = 0.2  # of a new sample in the moving average
MIN_LEARNING_TOKENS = 2000  # shorter prompts are no samples of the rate
OVER_MEMORY_PENALTY_S = 1.0
BEHIND_WEIGHT = 0.1
TIE_TOLERANCE_S = 0.005  # within which quotes count as equal
LENGTH_RANK_FACTOR = 1.0


@dataclasses.dataclass(slots=True)
class Placement:
    """One prompt at an endpoint.

    :param prompt_tokens: length of the prompt.
    :param remaining_tokens: estimated tokens that are still to prefill.
    :param held_tokens: largest number of KV cache tokens that it may use.
    :param rank: engine priority that it was sent with; lower runs first.
    :param expires_at: when the placement is dropped if no end was reported.
    :param suspect: whether an endpoint died while it ran this prompt.
    :param ran_alone: whether no other prefill ran there at the same time.
    """

    prompt_tokens: int
    remaining_tokens: float
    held_tokens: int
    rank: float
    expires_at: float
    suspect: bool = False
    placed_at: float = 0.0
    ran_alone: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Quote:
    """Predicted time to the first token at one endpoint.

    :param wait_s: work at the endpoint that would run before this prompt.
    :param own_s: prefill time of this prompt.
    :param behind_s: work at the endpoint that would run after this prompt.
    :param cached_tokens: prompt tokens in the endpoint's prefix cache.
    :param incarnation: latest incarnation of the endpoint that its owner knows.
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
        """Seconds by which quotes are compared; the lowest is the best.

        Work that would run after this prompt does not delay it now. It counts a
        little, because later prompts that are placed there may overtake this one.
        """
        return self.total_s + BEHIND_WEIGHT * self.behind_s


@dataclasses.dataclass(slots=True)
class PrefillQueue:
    """The prompts at one endpoint, with estimates of their remaining prefill.

    :param rate: prefill tokens per second, learnt from first tokens.
    :param capacity_tokens: size of the KV cache.
    :param updated_at: time to which the estimates are advanced.
    """

    endpoint: EndpointId
    rate: float
    capacity_tokens: int
    placement_by_attempt: dict[str, Placement] = dataclasses.field(default_factory=dict)
    updated_at: float = 0.0

    def place(self, attempt: str, placement: Placement, now: float) -> None:
        """Add a prompt."""
        self.advance(now)
        placement.placed_at = now
        for other in self.placement_by_attempt.values():
            if other.remaining_tokens > 0:
                other.ran_alone = placement.ran_alone = False
        self.placement_by_attempt[attempt] = placement

    def record_first_token(self, attempt: str, now: float) -> None:
        """Record the first token of ``attempt``: its prefill is done."""
        self.advance(now)
        placement = self.placement_by_attempt.get(attempt)
        if placement is None:
            return
        placement.remaining_tokens = 0.0
        if placement.ran_alone and placement.prompt_tokens >= MIN_LEARNING_TOKENS:
            self._learn_rate(placement.prompt_tokens, now - placement.placed_at)
        placement.ran_alone = False

    def release(self, attempt: str, now: float) -> None:
        """Remove a prompt that has ended in any way."""
        self.advance(now)
        self.placement_by_attempt.pop(attempt, None)

    def advance(self, now: float) -> None:
        """Advance the estimates to ``now``; prefills run by rank, lowest first."""
        tokens_left = max(0.0, now - self.updated_at) * self.rate
        self.updated_at = now
        self._drop_overdue(now)
        pending = [
            item
            for item in self.placement_by_attempt.values()
            if item.remaining_tokens > 0
        ]
        for placement in sorted(pending, key=lambda item: item.rank):
            done = min(tokens_left, placement.remaining_tokens)
            placement.remaining_tokens -= done
            tokens_left -= done
            if tokens_left <= 0:
                return

    def correct(
        self, remaining_by_attempt: t.Mapping[str, float], age_s: float
    ) -> None:
        """Correct the estimates by the endpoint's own, delayed report.

        :param remaining_by_attempt: prefill tokens that remain.
        :param age_s: age of the report; work done since then is accounted for.
        """
        for attempt, reported in remaining_by_attempt.items():
            placement = self.placement_by_attempt.get(attempt)
            if placement is not None:
                lower_bound = max(0.0, reported - age_s * self.rate)
                placement.remaining_tokens = min(
                    max(placement.remaining_tokens, lower_bound), reported
                )

    def _learn_rate(self, tokens: int, seconds: float) -> None:
        if seconds > 0:
            self.rate += RATE_LEARNING_WEIGHT * (tokens / seconds - self.rate)

    def quote(self, tokens: int, held_tokens: int, rank: float, now: float) -> Quote:
        """Predict the time to the first token of a prompt.

        :param tokens: prompt tokens to prefill.
        :param held_tokens: largest number of KV cache tokens that it may use.
        :param rank: engine priority; lower runs first.
        """
        self.advance(now)
        own_s = tokens / self.rate
        ahead = self._work_ahead(rank)
        wait_s = ahead / self.rate
        if self.held_tokens + held_tokens > self.capacity_tokens:
            wait_s += OVER_MEMORY_PENALTY_S
        behind_s = max(0.0, self.backlog_s - ahead / self.rate)
        return Quote(self.endpoint, wait_s, own_s, behind_s)

    @property
    def held_tokens(self) -> int:
        """KV cache tokens that all prompts together may use."""
        return sum(item.held_tokens for item in self.placement_by_attempt.values())

    @property
    def has_suspect(self) -> bool:
        """Whether an endpoint has died while it ran one of these prompts."""
        return any(item.suspect for item in self.placement_by_attempt.values())

    @property
    def backlog_s(self) -> float:
        """Prefill work that remains, in seconds."""
        return (
            sum(item.remaining_tokens for item in self.placement_by_attempt.values())
            / self.rate
        )

    def _work_ahead(self, rank: float) -> float:
        return sum(
            item.remaining_tokens
            for item in self.placement_by_attempt.values()
            if item.rank <= rank
        )

    def _drop_overdue(self, now: float) -> None:
        overdue = [
            key
            for key, item in self.placement_by_attempt.items()
            if item.expires_at <= now
        ]
        for key in overdue:
            del self.placement_by_attempt[key]


def prompt_rank(arrived_at: float, tokens: int, rate: float) -> float:
    """Return the engine priority of a prompt; lower runs first.

    Short prompts run before long ones. A long prompt that has waited
    ``LENGTH_RANK_FACTOR`` times its own prefill time runs before new short ones, so
    that no prompt starves because of its length.

    :param rate: prefill tokens per second.
    """
    return arrived_at + LENGTH_RANK_FACTOR * tokens / rate


def choose_quote(
    quotes: t.Sequence[Quote],
    pick: t.Callable[[list[Quote]], Quote],
    distance_s: t.Callable[[Quote], float],
) -> Quote | None:
    """Return one of the quotes with the lowest or almost the lowest score.

    Instances that decide at the same moment get the same quotes. If each took the
    very lowest, they would all choose the same endpoint.

    :param pick: chooses one of several quotes that are almost equal.
    :param distance_s: returns the time to reach the endpoint of a quote, in seconds.
    """
    if not quotes:
        return None
    cost_s = [quote.score + distance_s(quote) for quote in quotes]
    bound_s = min(cost_s) + TIE_TOLERANCE_S
    nearly_best = [
        quote for quote, cost in zip(quotes, cost_s, strict=True) if cost <= bound_s
    ]
    return pick(nearly_best)
