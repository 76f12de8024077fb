"""Revisions of the settings: an append-only log that is applied in order."""

import copy
import dataclasses
import typing as t

import json_merge_patch

from ..errors import SettingsError
from ._settings import Tree, read_model

Document = dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """One accepted change of the settings.

    :param number: position in the log, from 1 without gaps.
    :param change: id chosen by its author, who can query it when the answer was lost.
    :param patch: JSON merge patch (RFC 7396) on the document before it.
    :param at_ms: wall-clock time in milliseconds.
    :param document: all settings with the patch applied, in the first revision after
        a restore of the platform, since the revisions before it may be lost.
    """

    number: int
    change: str
    author: str
    patch: Document
    at_ms: int
    document: Document | None = None


class RevisionLog:
    """The settings in force at one instance, and whether they are confirmed.

    An instance that has confirmed its revision neither with the platform nor with
    enough peers for ``max_age_s`` seconds takes no new requests. This also covers a
    process that was paused, because its last confirmation is then too old.

    :ivar number: the revision in force, 0 before the first.
    :ivar document: the settings as plain data.
    :ivar tree: the validated settings.
    """

    def __init__(self, max_age_s: float) -> None:
        self.number = 0
        self.document: Document = {}
        self.tree = Tree()
        self._max_age_s = max_age_s
        self._confirmed_at = float("-inf")

    def apply(self, revision: Revision) -> bool:
        """Apply the next revision; return false if this one can't be applied.

        A revision with a document can follow any earlier one.
        """
        if revision.document is not None:
            return self.adopt(revision.number, revision.document)
        if revision.number != self.number + 1:
            return False
        document, tree = self.preview(revision.patch, f"revision {revision.number}")
        self.document, self.tree = document, tree
        self.number = revision.number
        return True

    def preview(self, patch: Document, source: str) -> tuple[Document, Tree]:
        """Return the document and the tree that a patch would lead to.

        :param source: name of the change, used in the error.
        :raises SettingsError: names the source, the path and the reason.
        """
        document = patched(self.document, patch)
        return document, reread_tree(self.tree, document, patch, source)

    def adopt(self, number: int, document: Document) -> bool:
        """Replace the settings with a full document, if it is newer.

        :returns: false if it is not newer.
        """
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
        return self.number > 0 and now - self._confirmed_at <= self._max_age_s


def patched(document: Document, patch: Document) -> Document:
    """Return a document with a JSON merge patch applied.

    The new document shares the unpatched parts with the old one, so that the cost
    of changing one account does not depend on the number of accounts. The old
    document is never modified, because the change may still be refused.
    """
    targets = {
        name: _patched_part(document[name], change)
        for name, change in patch.items()
        if name in document
    }
    # The library modifies its first argument.
    merged = json_merge_patch.merge(copy.deepcopy(targets), patch)
    result = {name: part for name, part in document.items() if name not in patch}
    for name, part in merged.items():
        result[name] = _with_unpatched(document.get(name), patch[name], part)
    return result


def _patched_part(part: t.Any, change: t.Any) -> t.Any:
    if not (isinstance(part, dict) and isinstance(change, dict)):
        return part
    return {name: part[name] for name in change if name in part}


def _with_unpatched(old: t.Any, change: t.Any, new: t.Any) -> t.Any:
    if not (isinstance(old, dict) and isinstance(change, dict)):
        return new
    unpatched = {name: value for name, value in old.items() if name not in change}
    return {**unpatched, **new}


def read_tree(document: Document, source: str) -> Tree:
    """Validate a document as a tree of settings.

    :raises SettingsError: names the source, the path and the reason.
    """
    return read_model(Tree, document, source)


def reread_tree(tree: Tree, document: Document, patch: Document, source: str) -> Tree:
    """Validate the patched parts, and take the other accounts from ``tree``.

    :raises SettingsError: names the source, the path and the reason.
    """
    changes = patch.get("accounts", {})
    if not isinstance(changes, dict):
        return read_tree(document, source)
    accounts = document.get("accounts", {})
    part = {name: accounts[name] for name in changes if name in accounts}
    patched_tree = read_tree({**document, "accounts": part}, source)
    unpatched = {
        name: item for name, item in tree.accounts.items() if name not in changes
    }
    full_tree = patched_tree.model_copy(
        update={"accounts": {**unpatched, **patched_tree.accounts}}
    )
    try:
        full_tree.check_services_exist()
    except ValueError as error:
        raise SettingsError(f"{source}: accounts: {error}") from error
    return full_tree
