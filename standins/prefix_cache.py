"""The prefix cache of a stand-in engine, with late and gappy events."""

import collections
import hashlib

import trio

from . import cost

KEPT_EVENTS = 20_000
DIGEST_BYTES = 16


class PrefixCache:
    """Blocks in order of their last use, and the events about them."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: collections.OrderedDict[bytes, None] = collections.OrderedDict()
        self._number = 0
        self._events: collections.deque[tuple[float, int, str, str]] = (
            collections.deque(maxlen=KEPT_EVENTS)
        )

    def cached_tokens(self, blocks: list[bytes]) -> int:
        """Return the tokens of the longest cached prefix, and touch it."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * cost.CACHE_BLOCK_TOKENS

    def remember(self, blocks: list[bytes], gap_every: int) -> None:
        """Store blocks and remove the longest unused past the capacity.

        :param gap_every: each so many-th event is lost; 0 for none.
        """
        for block in blocks:
            if block not in self._blocks:
                self._blocks[block] = None
                self._publish("stored", block, gap_every)
        while len(self._blocks) > self._capacity_blocks:
            old, _ = self._blocks.popitem(last=False)
            self._publish("removed", old, gap_every)

    def all_blocks(self) -> tuple[int, list[str]]:
        """Return the number of the last event and all cached blocks."""
        return self._number, [block.hex() for block in self._blocks]

    def events_after(self, number: int, lag_s: float) -> list[tuple[int, str, str]]:
        """Return the published events behind ``number``."""
        before = trio.current_time() - lag_s
        found = []
        for at, event, kind, block in reversed(self._events):
            if event <= number:
                break
            if at <= before:
                found.append((event, kind, block))
        return found[::-1]

    def published_head(self, lag_s: float) -> int:
        """Return the number of the last published event."""
        before = trio.current_time() - lag_s
        for at, number, _, _ in reversed(self._events):
            if at <= before:
                return number
        return 0

    def _publish(self, kind: str, block: bytes, gap_every: int) -> None:
        self._number += 1
        if gap_every and self._number % gap_every == 0:
            return
        self._events.append((trio.current_time(), self._number, kind, block.hex()))


def blocks_of(prompt: str, salt: str) -> list[bytes]:
    """Return the chained digests of a prompt's whole cache blocks."""
    data = prompt.encode()
    size = cost.CACHE_BLOCK_TOKENS * cost.BYTES_PER_TOKEN
    chain = hashlib.blake2b(salt.encode(), digest_size=DIGEST_BYTES).digest()
    blocks = []
    for start in range(0, len(data) - size + 1, size):
        piece = data[start : start + size]
        chain = hashlib.blake2b(chain + piece, digest_size=DIGEST_BYTES).digest()
        blocks.append(chain)
    return blocks
