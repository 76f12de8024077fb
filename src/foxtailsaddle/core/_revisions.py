"""Revisions of the settings: an append-only log that is applied upwards only."""

import copy
import dataclasses
import typing as t

import json_merge_patch

from ._settings import Tree, read_model


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """One accepted change.

    :param number: position in the log, from 1 without gaps.
    :param change: id that its author gave it, to ask after a lost answer.
    :param patch: JSON merge patch (RFC 7396) on the tree before it.
    """

    number: int
    change: str
    author: str
    patch: dict[str, t.Any]
    at_ms: int


class RevisionLog:
    """The settings in force at one instance, and whether that is confirmed.

    An instance that could confirm its revision neither with the platform nor
    with enough peers for ``bound_s`` seconds takes no new requests. A process
    that was frozen finds out the same way, because its last confirmation has
    aged meanwhile.
    """

    def __init__(self, bound_s: float) -> None:
        self.number = 0
        self.document: dict[str, t.Any] = {}
        self.tree = Tree()
        self._bound_s = bound_s
        self._confirmed_at = float("-inf")

    def apply(self, revision: Revision) -> bool:
        """Apply the next revision; return false for one that is not next."""
        if revision.number != self.number + 1:
            return False
        self.document = patched(self.document, revision.patch)
        self.tree = read_tree(self.document, f"revision {revision.number}")
        self.number = revision.number
        return True

    def adopt(self, number: int, document: dict[str, t.Any]) -> bool:
        """Take over a whole document, only if it is newer than the own."""
        if number <= self.number:
            return False
        self.tree = read_tree(document, f"revision {number}")
        self.document = document
        self.number = number
        return True

    def confirm(self, head: int, at: float) -> None:
        """Record that ``head`` was the newest revision at time ``at``."""
        if head <= self.number:
            self._confirmed_at = max(self._confirmed_at, at)

    def is_confirmed(self, now: float) -> bool:
        """Return whether new requests may be admitted under this revision."""
        return self.number > 0 and now - self._confirmed_at <= self._bound_s


def patched(document: dict[str, t.Any], patch: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return a copy of ``document`` with a JSON merge patch applied."""
    # The library patches in place, and a refused change must leave no trace.
    return json_merge_patch.merge(copy.deepcopy(document), patch)


def read_tree(document: dict[str, t.Any], source: str) -> Tree:
    """Validate a document as a tree of settings.

    :raises SettingsError: names the source, the path and the reason.
    """
    return read_model(Tree, document, source)
