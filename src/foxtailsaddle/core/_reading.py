"""Which instances follow the platform's store on behalf of all.

Load pattern: many instances, and a store whose every call is priced. A few
read, and tell the others; when one of them dies or loses the store, the next
in rank takes its place without being asked.
"""

import typing as t

from ._ids import InstanceId
from ._ownership import rank_of_member

READERS = 3
RANK_KEY = "store"
SLOW_RETRY_RANKS = 8.0
MAX_RETRY_S = 4.0


def should_read(own: InstanceId, readers: t.Iterable[InstanceId]) -> bool:
    """Return whether an instance follows the store itself.

    :param readers: the other instances that say that they do.
    """
    return rank_of_member(RANK_KEY, own, readers) < READERS


def is_first_reader(own: InstanceId, readers: t.Iterable[InstanceId]) -> bool:
    """Return whether an instance is the first in rank among the readers."""
    return rank_of_member(RANK_KEY, own, readers) == 0


def retry_pause_s(
    own: InstanceId, others: t.Iterable[InstanceId], pause_s: float
) -> float:
    """Return the pause before another try while the store does not answer.

    Instances of a low rank try more rarely, so that a large fleet does not
    press on a store that is down.
    """
    rank = rank_of_member(RANK_KEY, own, others)
    return min(MAX_RETRY_S, pause_s * (1 + rank / SLOW_RETRY_RANKS))
