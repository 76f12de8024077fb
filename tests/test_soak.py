"""Tests for the checks of the soak test, and one short soak run with a seed."""

import subprocess
import sys

from soak.callers import STREAM_EVENTS, RequestRecord
from soak.promises import broken_promises

SEED = 101
SECONDS = 6


def make_request(**fields):
    """Return a correct answer as a caller saw it, with some fields changed."""
    defaults = {"id": "1", "path": "/unsafe/x", "instance": "i1", "at": 0.0}
    answer = {"took_s": 0.1, "status": 200, "answer_id": "1", "is_whole": True}
    return RequestRecord(**(defaults | answer | {"body": b"{}"} | fields))


def make_books(*ids, tickets=()):
    """Return the record of an endpoint that received and ran the given requests.

    :param tickets: reservations of memory that it still has.
    """
    return {"p0": {"seen": list(ids), "runs": list(ids), "tickets": list(tickets)}}


def violations(request, books, excused=False):
    """Return the violations that the checks find.

    :param excused: whether a fault explains a missing answer.
    """
    return broken_promises([request], books, lambda _: excused)


class TestChecks:
    """Each check finds the violation that it is meant for."""

    def test_a_correct_run_has_no_violations(self):
        assert violations(make_request(), make_books("1")) == []

    def test_a_call_that_ran_twice_is_found(self):
        assert violations(make_request(), make_books("1", "1"))

    def test_a_false_not_run_verdict_is_found(self):
        assert violations(make_request(status=503), make_books("1"))

    def test_the_answer_of_another_request_is_found(self):
        assert violations(make_request(answer_id="2"), make_books("1"))

    def test_a_truncated_body_is_found(self):
        assert violations(make_request(body=b'{"by'), make_books("1"))

    def test_a_stream_with_a_missing_event_is_found(self):
        ids = [n for n in range(1, STREAM_EVENTS + 1) if n != 2]
        body = "".join(f"id: {n}\n\n" for n in ids).encode()
        assert violations(make_request(path="/stream/x", body=body), make_books("1"))

    def test_a_missing_answer_is_found_unless_excused(self):
        unanswered = make_request(took_s=4.2, status=0, answer_id="", is_whole=False)
        assert violations(unanswered, make_books())
        assert violations(unanswered, make_books(), excused=True) == []

    def test_memory_that_was_not_released_is_found(self):
        assert violations(make_request(), make_books("1", tickets=["t"]))

    def test_a_run_that_nobody_requested_is_found(self):
        assert violations(make_request(), make_books("1", "9"))


class TestShortRun:
    def test_keeps_every_guarantee(self):
        command = [sys.executable, "-m", "soak", f"--seed={SEED}"]
        command.append(f"--seconds={SECONDS}")
        run = subprocess.run(command, capture_output=True, text=True, check=False)
        assert run.returncode == 0, run.stdout + run.stderr
        assert "1 passed, 0 failed" in run.stdout
