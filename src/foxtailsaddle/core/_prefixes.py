"""Which prefixes an engine has cached, from its late and gappy events."""

import dataclasses
import hashlib
import typing as t

DIGEST_BYTES = 16
PROBES = 8
PROBE_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A prefix of a prompt: so many blocks, with this digest."""

    blocks: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event that an engine published.

    :param number: counts all events of the engine; a jump is a gap.
    :param stored: false when the block was removed.
    """

    number: int
    stored: bool
    digest: int


def probes_of(text: str, salt: str, block_bytes: int) -> tuple[Probe, ...]:
    """Return evenly spaced prefixes of a prompt.

    A block's digest covers all blocks before it and the salt, which is the
    client account: no account's prefix ever matches another's.
    """
    data = text.encode()
    count = len(data) // block_bytes
    wanted = {count * part // PROBES for part in range(1, PROBES + 1)} - {0}
    chain = hashlib.blake2b(salt.encode(), digest_size=DIGEST_BYTES).digest()
    probes = []
    for block in range(1, count + 1):
        piece = data[(block - 1) * block_bytes : block * block_bytes]
        chain = hashlib.blake2b(chain + piece, digest_size=DIGEST_BYTES).digest()
        if block in wanted:
            probes.append(Probe(block, short_digest(chain)))
    return tuple(probes)


def short_digest(digest: bytes) -> int:
    """Return the part of a block's digest that messages carry."""
    return int.from_bytes(digest[:PROBE_BYTES], "big")


class PrefixIndex:
    """Blocks that one engine has cached.

    A wrong entry costs time, never a wrong answer: the engine itself looks at
    what it has.
    """

    def __init__(self) -> None:
        self.head = 0
        self._digests: set[int] = set()

    def __len__(self) -> int:
        return len(self._digests)

    def apply(self, events: t.Iterable[CacheEvent]) -> bool:
        """Take in events in order; return false at a gap, to be resynchronised."""
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
        """Take over the engine's whole list of blocks, as of event ``head``."""
        self._digests = set(digests)
        self.head = head

    def cached_blocks(self, probes: t.Sequence[Probe]) -> int:
        """Return the longest of the probed prefixes that is cached, in blocks."""
        for probe in reversed(probes):
            if probe.digest in self._digests:
                return probe.blocks
        return 0
