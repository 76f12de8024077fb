"""Rendezvous hashing: which instance keeps the book of a key."""

import typing as t

import xxhash


def owner_of(key: str, members: t.Iterable[str]) -> str | None:
    """Return the member that owns ``key``, or ``None`` without members.

    When a member leaves, only its own keys move. Two instances with different
    views may name different owners; that costs speed, never correctness.
    """
    return max(members, key=lambda member: _score(key, member), default=None)


def rank_of_member(key: str, member: str, others: t.Iterable[str]) -> int:
    """Return how many of ``others`` come before ``member`` for ``key``."""
    own = _score(key, member)
    return sum(_score(key, other) > own for other in others)


def _score(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode()), member
