"""From a failed request's id to its cause, by log lines alone.

Each walk is one that docs/OPERATIONS.md shows.
"""

import logging

import pytest
import trio

from standins.runner import Fault
from tests.front import eventually, in_world


class _Lines(logging.Handler):
    """Keeps log records."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def of(self, id):
        return [r for r in self.records if getattr(r, "id", None) == id]

    def saying(self, message):
        return [r for r in self.records if r.getMessage() == message]


@pytest.fixture(autouse=True)
def lines():
    handler = _Lines()
    logger = logging.getLogger("foxtailsaddle")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    TestWalks.lines = handler
    yield handler
    logger.removeHandler(handler)
    logger.setLevel(level)


class TestWalks:
    lines = None

    @in_world(plain=1)
    async def test_a_sign_off_of_unknown_outcome(self, world):
        world.runners["p0"].faults = [Fault.RESET]
        reply = await world.ask(world.apps[0], "/unsafe/x")
        assert reply.status == 502
        id = reply.headers["x-request-id"]
        await eventually(lambda: len(self.lines.of(id)) == 2)
        failed, ended = self.lines.of(id)
        assert failed.getMessage() == "plain: attempt failed"
        assert failed.endpoint == "p0"
        assert "broke off" in failed.why
        assert failed.repeatable is False
        assert (ended.outcome, ended.verdict) == ("endpoint_failed", "may_have_run")

    @in_world(engines=2)
    async def test_a_stream_that_was_cut(self, world):
        for runner in world.runners.values():
            runner.fault = Fault.CUT
        reply = await world.ask(world.apps[0], "/stream/x")
        assert reply.is_truncated
        id = reply.headers["x-request-id"]
        await eventually(lambda: len(self.lines.of(id)) == 5)
        walk = self.lines.of(id)
        messages = [record.getMessage() for record in walk]
        assert messages == [
            "stream: placed",
            "stream: attempt failed",
            "stream: placed",
            "stream: attempt failed",
            "request: ended",
        ]
        assert walk[1].events == 1
        assert {walk[0].endpoint, walk[2].endpoint} == {"e0", "e1"}
        assert walk[0].configuration == 1

    @in_world(plain=1)
    async def test_a_call_refused_since_its_endpoints_had_left(self, world):
        app = world.apps[0]
        world.rows.put("servers", "p0", world.runners["p0"].entry(state="draining"))
        await eventually(lambda: not app.fleet.endpoints.usable("plain"))
        reply = await world.ask(app, "/safe/x")
        assert reply.status == 503
        id = reply.headers["x-request-id"]
        await eventually(lambda: self.lines.of(id))
        (ended,) = self.lines.of(id)
        assert (ended.outcome, ended.verdict) == ("no_endpoint", "not_run")
        (change,) = [
            r
            for r in self.lines.saying("list: changed")
            if r.endpoint == "p0" and r.state == "draining"
        ]
        assert change.version == world.rows.version

    @in_world(plain=1)
    async def test_a_lost_dependency_is_told_once_and_its_return_too(self, world):
        world.rows.knobs.refuse = 503
        app = world.apps[0]
        await eventually(lambda: app.store_sync.list_follower.is_disconnected, 4.0)
        await trio.sleep(1.0)
        world.rows.knobs.refuse = 0
        await eventually(lambda: not app.store_sync.list_follower.is_disconnected, 4.0)
        lost = [r for r in self.lines.saying("store: lost") if r.table == "servers"]
        back = [r for r in self.lines.saying("store: reached") if r.table == "servers"]
        assert len(lost) == 1
        assert len(back) == 2
