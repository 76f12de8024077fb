"""Distributes prompts that are too large for one engine over several endpoints."""

import dataclasses
import typing as t

from ._ids import EndpointId

MAX_GROUP_FILL = 0.7  # share of each engine's memory that a group may take


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could hold a part of a prompt.

    :param capacity_tokens: size of its KV cache.
    :param backlog_s: prefill work that it has to do first.
    """

    endpoint: EndpointId
    capacity_tokens: int
    backlog_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The part of a prompt that one endpoint holds, in tokens."""

    endpoint: EndpointId
    tokens: int


def group_capacity(capacities: t.Iterable[int]) -> int:
    """Return the size of the largest prompt for a group of endpoints, in tokens.

    A group takes only a part of each engine's memory and leaves the remainder for
    short prompts.
    """
    return int(sum(capacities) * MAX_GROUP_FILL)


def plan_group(tokens: int, candidates: t.Iterable[Candidate]) -> list[Share]:
    """Return the shares of the smallest group that can hold ``tokens``.

    The least loaded endpoints are used. Shares are sorted by endpoint id. All
    groups reserve memory in this order, so that two groups can't deadlock with
    half of the endpoints each.

    :returns: an empty list if all candidates together are too small.
    """
    selected: list[Candidate] = []
    by_load = sorted(candidates, key=lambda item: (item.backlog_s, item.endpoint))
    for candidate in by_load:
        selected.append(candidate)
        if group_capacity(item.capacity_tokens for item in selected) >= tokens:
            return _shares(tokens, selected)
    return []


def _shares(tokens: int, selected: list[Candidate]) -> list[Share]:
    total = sum(item.capacity_tokens for item in selected)
    ordered = sorted(selected, key=lambda item: item.endpoint)
    shares = [
        Share(item.endpoint, tokens * item.capacity_tokens // total) for item in ordered
    ]
    remainder = tokens - sum(share.tokens for share in shares)
    last = shares[-1]
    shares[-1] = Share(last.endpoint, last.tokens + remainder)
    return shares
