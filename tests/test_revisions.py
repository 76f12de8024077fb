"""Tests for the log of settings revisions."""

import pytest

from foxtailsaddle.core import Revision, RevisionLog, patched, read_tree
from foxtailsaddle.errors import SettingsError


class TestRevisionLog:
    def test_applies_revisions_in_order_and_without_gaps(self):
        log = RevisionLog(8.0)
        first = Revision(1, "a", "ann", {"base": {"stall_s": 2}}, 0)
        third = Revision(3, "c", "ann", {"base": {"stall_s": 9}}, 0)
        assert log.apply(first)
        assert not log.apply(third)
        assert not log.adopt(1, {})
        assert log.tree.base.stall_s == 2

    def test_a_rejected_patch_does_not_change_the_document(self):
        document = {"base": {"stall_s": 2}}
        with pytest.raises(SettingsError, match=r"base\.stall_s"):
            read_tree(patched(document, {"base": {"stall_s": -1}}), "change")
        assert document == {"base": {"stall_s": 2}}

    def test_applying_patches_equals_reading_the_whole_document(self):
        log = RevisionLog(8.0)
        patches = [
            {"services": {"drafts": {}}, "accounts": {"a": {}, "b": {}}},
            {"accounts": {"a": {"policy": {"max_attempts": 2}}, "c": {}}},
            {"accounts": {"b": None, "a": {"services": {"drafts": {"stall_s": 1}}}}},
            {"base": {"stall_s": 4}},
            {"base": None, "accounts": {"a": {"policy": {"max_attempts": None}}}},
        ]
        for number, patch in enumerate(patches, start=1):
            assert log.apply(Revision(number, str(number), "ann", patch, 0))
            assert log.tree == read_tree(log.document, "whole")
        assert set(log.tree.accounts) == {"a", "c"}
        with pytest.raises(SettingsError, match="drafts"):
            log.preview({"services": {"drafts": None}}, "change")

    def test_a_confirmation_expires(self):
        log = RevisionLog(8.0)
        log.apply(Revision(1, "a", "ann", {}, 0))
        log.confirm(1, 100.0)
        assert log.is_confirmed(108.0)
        assert not log.is_confirmed(108.1)
        log.confirm(2, 200.0)
        assert not log.is_confirmed(200.0)
