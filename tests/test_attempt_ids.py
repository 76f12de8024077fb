"""Attempt ids."""

from foxtailsaddle.core import AttemptId, orphans


class TestAttemptId:
    def test_reads_back_what_it_writes(self):
        attempt = AttemptId("i1", "0001ab", 7, 2, 1_000)
        assert AttemptId.parse(str(attempt)) == attempt

    def test_foreign_names_are_no_attempts(self):
        assert AttemptId.parse("cmpl-123") is None
        assert AttemptId.parse("a~b~c~d~e") is None

    def test_attempts_of_one_request_share_its_id(self):
        attempt = AttemptId("i1", "0001ab", 7, 1, 1_000)
        assert attempt.next().request == attempt.request
        assert str(attempt.next()) != str(attempt)


class TestOrphans:
    def test_only_overdue_attempts_of_ours_are_orphans(self):
        late = str(AttemptId("i1", "a", 1, 1, 1_000))
        running = str(AttemptId("i2", "a", 1, 1, 9_000))
        assert orphans([late, running, "foreign"], 4_000, 2_000) == [late]
