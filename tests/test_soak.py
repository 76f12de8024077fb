"""The soak: a short seeded run, its checks, and the seeds that ever failed."""

import subprocess
import sys

from soak.callers import STREAM_EVENTS, RequestRecord
from soak.promises import broken_promises

SEED = 101
SECONDS = 6


def asked(**fields):
    usual = {"id": "1", "path": "/unsafe/x", "instance": "i1", "at": 0.0}
    seen = {"took_s": 0.1, "status": 200, "answer_id": "1", "is_whole": True}
    return RequestRecord(**(usual | seen | {"body": b"{}"} | fields))


def book(*ids, tickets=()):
    return {"p0": {"seen": list(ids), "runs": list(ids), "tickets": list(tickets)}}


def broken(one, books, excused=False):
    return broken_promises([one], books, lambda _: excused)


class TestPromises:
    """Each check finds what it is there for."""

    def test_nothing_is_found_where_nothing_is_wrong(self):
        assert broken(asked(), book("1")) == []

    def test_a_call_that_ran_twice(self):
        assert broken(asked(), book("1", "1"))

    def test_a_false_not_run(self):
        assert broken(asked(status=503), book("1"))

    def test_another_requests_answer(self):
        assert broken(asked(answer_id="2"), book("1"))

    def test_a_part_of_a_body(self):
        assert broken(asked(body=b'{"by'), book("1"))

    def test_a_stream_with_a_hole(self):
        ids = [n for n in range(1, STREAM_EVENTS + 1) if n != 2]
        body = "".join(f"id: {n}\n\n" for n in ids).encode()
        assert broken(asked(path="/stream/x", body=body), book("1"))

    def test_no_answer_in_time(self):
        late = asked(took_s=4.2, status=0, answer_id="", is_whole=False)
        assert broken(late, book())
        assert broken(late, book(), excused=True) == []

    def test_memory_that_is_still_held(self):
        assert broken(asked(), book("1", tickets=["t"]))

    def test_a_request_that_nobody_sent(self):
        assert broken(asked(), book("1", "9"))


class TestShortRun:
    def test_keeps_every_promise(self):
        command = [sys.executable, "-m", "soak", f"--seed={SEED}"]
        command.append(f"--seconds={SECONDS}")
        run = subprocess.run(command, capture_output=True, text=True, check=False)
        assert run.returncode == 0, run.stdout + run.stderr
        assert "1 passed, 0 failed" in run.stdout
