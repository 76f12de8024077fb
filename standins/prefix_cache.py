"""Prefix cache of a stand-in engine, whose events can be late or lost."""

import collections
import hashlib

import trio

from . import cost

MAX_EVENTS = 20_000
DIGEST_BYTES = 16


class PrefixCache:
    """An LRU cache of prompt blocks and the log of its events."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: collections.OrderedDict[bytes, None] = collections.OrderedDict()
        self._last_event_number = 0
        self._events: collections.deque[tuple[float, int, str, str]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def cached_tokens(self, blocks: list[bytes]) -> int:
        """Return the tokens of the longest cached prefix and mark it as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * cost.CACHE_BLOCK_TOKENS

    def store(self, blocks: list[bytes], lose_every: int) -> None:
        """Store blocks and evict the least recently used beyond the capacity.

        :param lose_every: every n-th event is lost; 0 for none.
        """
        for block in blocks:
            if block not in self._blocks:
                self._blocks[block] = None
                self._publish("stored", block, lose_every)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("removed", evicted, lose_every)

    def all_blocks(self) -> tuple[int, list[str]]:
        """Return the number of the last event and all cached blocks."""
        return self._last_event_number, [block.hex() for block in self._blocks]

    def events_after(self, number: int, lag_s: float) -> list[tuple[int, str, str]]:
        """Return the published events after event ``number``, oldest first.

        :param lag_s: delay with which events are published, in seconds.
        """
        published_until = trio.current_time() - lag_s
        found = []
        for at, event, kind, block in reversed(self._events):
            if event <= number:
                break
            if at <= published_until:
                found.append((event, kind, block))
        return found[::-1]

    def published_head(self, lag_s: float) -> int:
        """Return the number of the last published event, 0 for none.

        :param lag_s: delay with which events are published, in seconds.
        """
        published_until = trio.current_time() - lag_s
        for at, number, _, _ in reversed(self._events):
            if at <= published_until:
                return number
        return 0

    def _publish(self, kind: str, block: bytes, lose_every: int) -> None:
        self._last_event_number += 1
        if lose_every and self._last_event_number % lose_every == 0:
            return
        self._events.append(
            (trio.current_time(), self._last_event_number, kind, block.hex())
        )


def block_digests(prompt: str, salt: str) -> list[bytes]:
    """Return the chained digests of the complete cache blocks of a prompt."""
    data = prompt.encode()
    size = cost.CACHE_BLOCK_TOKENS * cost.BYTES_PER_TOKEN
    digest = hashlib.blake2b(salt.encode(), digest_size=DIGEST_BYTES).digest()
    blocks = []
    for start in range(0, len(data) - size + 1, size):
        block_data = data[start : start + size]
        digest = hashlib.blake2b(digest + block_data, digest_size=DIGEST_BYTES).digest()
        blocks.append(digest)
    return blocks
