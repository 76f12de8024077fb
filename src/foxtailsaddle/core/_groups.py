"""Prompts larger than one engine: which endpoints hold which part."""

import dataclasses
import typing as t

from ._ids import EndpointId

FILL = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could hold a part of a prompt."""

    endpoint: EndpointId
    capacity_tokens: int
    backlog_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The part of a prompt that one endpoint holds, in tokens."""

    endpoint: EndpointId
    tokens: int


def group_capacity(capacities: t.Iterable[int]) -> int:
    """Return how many tokens a group of all these endpoints may hold.

    A group fills only a part of each engine, so that short prompts still find
    room beside it.
    """
    return int(sum(capacities) * FILL)


def plan_group(tokens: int, candidates: t.Iterable[Candidate]) -> list[Share]:
    """Return the shares of the fewest endpoints that hold ``tokens``.

    The least loaded are taken. Shares are in the order of endpoint ids, which
    is the one order in which all groups reserve, so that two of them can't
    hold half each for ever. The list is empty when they are too few.
    """
    chosen: list[Candidate] = []
    by_load = sorted(candidates, key=lambda item: (item.backlog_s, item.endpoint))
    for candidate in by_load:
        chosen.append(candidate)
        if group_capacity(item.capacity_tokens for item in chosen) >= tokens:
            return _shares(tokens, chosen)
    return []


def _shares(tokens: int, chosen: list[Candidate]) -> list[Share]:
    total = sum(item.capacity_tokens for item in chosen)
    ordered = sorted(chosen, key=lambda item: item.endpoint)
    shares = [
        Share(item.endpoint, tokens * item.capacity_tokens // total) for item in ordered
    ]
    rest = tokens - sum(share.tokens for share in shares)
    last = shares[-1]
    shares[-1] = Share(last.endpoint, last.tokens + rest)
    return shares
