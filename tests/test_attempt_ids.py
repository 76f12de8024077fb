"""Tests for attempt ids."""

from foxtailsaddle.core import AttemptId, orphans


class TestAttemptId:
    def test_parses_its_own_text(self):
        attempt = AttemptId("i1", "0001ab", 7, 2, 1_000)
        assert AttemptId.parse(str(attempt)) == attempt

    def test_other_texts_are_not_parsed(self):
        assert AttemptId.parse("cmpl-123") is None
        assert AttemptId.parse("a~b~c~d~e") is None

    def test_attempts_of_one_request_share_its_id(self):
        attempt = AttemptId("i1", "0001ab", 7, 1, 1_000)
        assert attempt.next().request == attempt.request
        assert str(attempt.next()) != str(attempt)


class TestOrphans:
    def test_only_overdue_attempts_are_orphans(self):
        overdue = str(AttemptId("i1", "a", 1, 1, 1_000))
        running = str(AttemptId("i2", "a", 1, 1, 9_000))
        assert orphans([overdue, running, "foreign"], 4_000, 2_000) == [overdue]
