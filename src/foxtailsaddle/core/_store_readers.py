"""Selects the instances that read the platform's store for the whole fleet.

Load pattern: many instances, and a store where each call costs. A few instances
read the store and pass the changes on to the others. When a reader dies or loses
its connection to the store, the next instance in rank replaces it without any
coordination.
"""

import typing as t

from ._ids import InstanceId
from ._ownership import rank_of_member

MAX_READERS = 3
RANK_KEY = "store"
RETRY_SCALE_RANKS = 8.0  # the base pause is added once per this many ranks
MAX_RETRY_S = 4.0


def should_read(own: InstanceId, readers: t.Iterable[InstanceId]) -> bool:
    """Return whether an instance reads the store itself.

    :param readers: the other instances that report that they read it.
    """
    return rank_of_member(RANK_KEY, own, readers) < MAX_READERS


def is_first_reader(own: InstanceId, readers: t.Iterable[InstanceId]) -> bool:
    """Return whether an instance has the first rank among the readers."""
    return rank_of_member(RANK_KEY, own, readers) == 0


def retry_pause_s(
    own: InstanceId, others: t.Iterable[InstanceId], pause_s: float
) -> float:
    """Return the pause before the next attempt to reach an unavailable store.

    Instances further down the ranking pause longer, so that a large fleet does
    not overload a store that is down.

    :param pause_s: pause of the first instance in rank.
    """
    rank = rank_of_member(RANK_KEY, own, others)
    return min(MAX_RETRY_S, pause_s * (1 + rank / RETRY_SCALE_RANKS))
