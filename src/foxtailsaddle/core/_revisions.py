"""Revisions of the settings: an append-only log that is applied upwards only."""

import copy
import dataclasses
import typing as t

import json_merge_patch

from ..errors import SettingsError
from ._settings import Tree, read_model

Document = dict[str, t.Any]


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
    patch: Document
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
        self.document: Document = {}
        self.tree = Tree()
        self._bound_s = bound_s
        self._confirmed_at = float("-inf")

    def apply(self, revision: Revision) -> bool:
        """Apply the next revision; return false for one that is not next."""
        if revision.number != self.number + 1:
            return False
        document, tree = self.preview(revision.patch, f"revision {revision.number}")
        self.document, self.tree = document, tree
        self.number = revision.number
        return True

    def preview(self, patch: Document, source: str) -> tuple[Document, Tree]:
        """Return what a patch on the present settings would give.

        :raises SettingsError: names the source, the path and the reason.
        """
        document = patched(self.document, patch)
        return document, reread_tree(self.tree, document, patch, source)

    def adopt(self, number: int, document: Document) -> bool:
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


def patched(document: Document, patch: Document) -> Document:
    """Return a document with a JSON merge patch applied.

    What the patch does not touch is shared with the old document, so that one
    account's change costs the same however many accounts there are. The old
    document is never changed: a refused change must leave no trace.
    """
    touched = {
        name: _touched(document[name], change)
        for name, change in patch.items()
        if name in document
    }
    # The library patches in place.
    merged = json_merge_patch.merge(copy.deepcopy(touched), patch)
    result = {name: part for name, part in document.items() if name not in patch}
    for name, part in merged.items():
        result[name] = _joined(document.get(name), patch[name], part)
    return result


def _touched(part: t.Any, change: t.Any) -> t.Any:
    if not (isinstance(part, dict) and isinstance(change, dict)):
        return part
    return {name: part[name] for name in change if name in part}


def _joined(old: t.Any, change: t.Any, new: t.Any) -> t.Any:
    if not (isinstance(old, dict) and isinstance(change, dict)):
        return new
    kept = {name: value for name, value in old.items() if name not in change}
    return {**kept, **new}


def read_tree(document: Document, source: str) -> Tree:
    """Validate a document as a tree of settings.

    :raises SettingsError: names the source, the path and the reason.
    """
    return read_model(Tree, document, source)


def reread_tree(tree: Tree, document: Document, patch: Document, source: str) -> Tree:
    """Validate what a patch touched, and take the other accounts from ``tree``.

    :raises SettingsError: names the source, the path and the reason.
    """
    touched = patch.get("accounts", {})
    if not isinstance(touched, dict):
        return read_tree(document, source)
    accounts = document.get("accounts", {})
    part = {name: accounts[name] for name in touched if name in accounts}
    small = read_tree({**document, "accounts": part}, source)
    kept = {name: item for name, item in tree.accounts.items() if name not in touched}
    whole = small.model_copy(update={"accounts": {**kept, **small.accounts}})
    try:
        whole.check_services_exist()
    except ValueError as error:
        raise SettingsError(f"{source}: accounts: {error}") from error
    return whole
