"""Assigns keys to instances by rendezvous hashing."""

import typing as t

import xxhash


def owner_of(key: str, members: t.Iterable[str]) -> str | None:
    """Return the member that owns ``key``, or ``None`` without members.

    When a member leaves, only its keys move to other members. Instances with
    different views of the membership may disagree on the owner. This costs
    performance, but never correctness.
    """
    return max(members, key=lambda member: _hash_score(key, member), default=None)


def rank_of_member(key: str, member: str, others: t.Iterable[str]) -> int:
    """Return how many of ``others`` precede ``member`` as owners of ``key``."""
    own = _hash_score(key, member)
    return sum(_hash_score(key, other) > own for other in others)


def split_keys(
    keys: t.Iterable[str], member: str, members: t.Collection[str]
) -> list[str]:
    """Return the keys of one member, where each key belongs to one of all members.

    One hash a key, at any number of members. In return, most keys move when a member
    comes or goes, so it suits work that may be dropped or done twice for a moment.
    """
    position = sorted(members).index(member)
    return [
        key
        for key in keys
        if xxhash.xxh32_intdigest(key.encode()) % len(members) == position
    ]


def _hash_score(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode()), member
