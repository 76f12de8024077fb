"""Index of the prompt prefixes that an engine has cached.

It is built from the engine's cache events, which may arrive late or be lost.
"""

import dataclasses
import hashlib
import typing as t

DIGEST_BYTES = 16
PROBES = 8  # prefixes of a prompt that are looked up
SHORT_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A prefix of a prompt: its length in blocks, and its digest."""

    blocks: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A cache event that an engine has published.

    :param number: sequence number; a missing number means a lost event.
    :param stored: false if the block was removed from the cache.
    """

    number: int
    stored: bool
    digest: int


def probes_of(text: str, salt: str, block_bytes: int) -> tuple[Probe, ...]:
    """Return evenly spaced prefixes of a prompt.

    The digest of a block covers all blocks before it and the salt. The salt is
    the client account, so that prefixes of different accounts never match.
    """
    data = text.encode()
    count = len(data) // block_bytes
    wanted = {count * part // PROBES for part in range(1, PROBES + 1)} - {0}
    chain = hashlib.blake2b(salt.encode(), digest_size=DIGEST_BYTES).digest()
    probes = []
    for block in range(1, count + 1):
        block_data = data[(block - 1) * block_bytes : block * block_bytes]
        chain = hashlib.blake2b(chain + block_data, digest_size=DIGEST_BYTES).digest()
        if block in wanted:
            probes.append(Probe(block, short_digest(chain)))
    return tuple(probes)


def short_digest(digest: bytes) -> int:
    """Return the part of a block's digest that is sent in messages."""
    return int.from_bytes(digest[:SHORT_DIGEST_BYTES], "big")


class PrefixIndex:
    """The blocks that one engine has cached, as far as known.

    A wrong entry costs time, but never leads to a wrong answer, because the
    engine checks its own cache.

    :ivar head: number of the last applied event.
    """

    def __init__(self) -> None:
        self.head = 0
        self._digests: set[int] = set()

    def __len__(self) -> int:
        return len(self._digests)

    def apply(self, events: t.Iterable[CacheEvent]) -> bool:
        """Apply events in order.

        :returns: false if an event is missing, so that the index has to be
            replaced by the engine's full list.
        """
        for event in events:
            if event.number != self.head + 1:
                return False
            self.head = event.number
            if event.stored:
                self._digests.add(event.digest)
            else:
                self._digests.discard(event.digest)
        return True

    def replace(self, digests: t.Iterable[int], head: int) -> None:
        """Replace the index with the engine's full list of blocks at event ``head``."""
        self._digests = set(digests)
        self.head = head

    def cached_blocks(self, probes: t.Sequence[Probe]) -> int:
        """Return the length of the longest cached prefix, in blocks."""
        for probe in reversed(probes):
            if probe.digest in self._digests:
                return probe.blocks
        return 0
