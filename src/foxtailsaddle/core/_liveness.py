"""Which endpoints may get new work.

Word of an endpoint comes from the settings, the platform's lagging list, the
endpoint itself and the peers. Any one "leaving" wins over any "live" of the
same incarnation, and word older than a bound does not count.
"""

import dataclasses

from ._ids import EndpointId


@dataclasses.dataclass(slots=True)
class _Word:
    incarnation: str = ""
    heard_at: float = float("-inf")
    leaving: bool = False
    failed_at: float = float("-inf")


class Liveness:
    """The latest word of each endpoint, by id.

    :param bound_s: age in seconds past which a "live" no longer counts.
    """

    def __init__(self, bound_s: float) -> None:
        self._bound_s = bound_s
        self._word_by_id: dict[EndpointId, _Word] = {}

    def heard(
        self, endpoint: EndpointId, incarnation: str, leaving: bool, at: float
    ) -> None:
        """Take in the endpoint's own word, directly or told by a peer.

        :param at: when the word was given, on this instance's clock.
        """
        word = self._word(endpoint)
        if incarnation != word.incarnation:
            if at <= word.heard_at:
                return
            word.incarnation = incarnation
            word.leaving = False
            word.failed_at = float("-inf")
        word.leaving = word.leaving or leaving
        word.heard_at = max(word.heard_at, at)

    def listed_leaving(self, endpoint: EndpointId, incarnation: str) -> None:
        """Take in "leaving" from the platform's list."""
        word = self._word(endpoint)
        if word.incarnation in ("", incarnation):
            word.incarnation = incarnation
            word.leaving = True

    def failed(self, endpoint: EndpointId, now: float) -> None:
        """Keep new work away until the endpoint gives a later word.

        A dead endpoint has an empty book, so it would look like the best.
        """
        self._word(endpoint).failed_at = now

    def may_get_work(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether the endpoint is known to be live and staying."""
        word = self._word_by_id.get(endpoint)
        if word is None or word.leaving or word.heard_at <= word.failed_at:
            return False
        return now - word.heard_at <= self._bound_s

    def incarnation(self, endpoint: EndpointId) -> str:
        """Return the incarnation last heard of, or an empty text."""
        word = self._word_by_id.get(endpoint)
        return word.incarnation if word else ""

    def words(self, now: float) -> list[tuple[EndpointId, str, bool, float]]:
        """Return (endpoint, incarnation, leaving, age in seconds) for peers."""
        return [
            (endpoint, word.incarnation, word.leaving, now - word.heard_at)
            for endpoint, word in self._word_by_id.items()
            if now - word.heard_at <= self._bound_s
        ]

    def _word(self, endpoint: EndpointId) -> _Word:
        return self._word_by_id.setdefault(endpoint, _Word())
