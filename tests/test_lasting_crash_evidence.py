"""Tests that crashes still count where instances start, come back or are left alone."""

import trio

from foxtailsaddle.core import CrashGuard, CrashId, EndpointDeath, EndpointId
from foxtailsaddle.forward._fleet import DEATH_MEMORY_S, MAX_DEATHS, fingerprint
from standins.cuts import CutKind
from standins.front_world import ACCOUNT
from standins.runner import Fault
from tests.loopback_world import eventually, in_world

TARGET = "/unsafe/x"
DIGEST = fingerprint(ACCOUNT, TARGET, b"")
NOT_HEARD_S = 6.0  # after its end, until an instance counts as not heard


def deaths(app):
    """Return the deaths that count against the request of these tests."""
    return app.fleet.crash_guard.deaths(DIGEST, trio.current_time())


def record_deaths(app, age_s=0.0):
    """Record so many crashes under the request that it is refused."""
    for number in range(MAX_DEATHS):
        crash = CrashId(EndpointId(f"gone-{number}"), number)
        app.fleet.record_death(
            EndpointDeath(DIGEST, crash, age_s=age_s), trio.current_time()
        )


async def leave_alone(world):
    """End the second of two instances; return the first once it hears no other."""
    app, other = world.apps
    await eventually(lambda: app.peers.live())
    world.kill(other)
    await eventually(lambda: not app.peers.live(), NOT_HEARD_S)
    return app


class TestInstanceThatStarts:
    """It refuses what the others refuse from the first request on."""

    # Guards against: each instance that is restarted crashes endpoints once more
    # with a request that the others refuse (review/4, BUDGET).
    @in_world(engines=0, plain=2, instances=3)
    async def test_it_is_told_the_deaths_of_requests(self, world):
        await eventually(lambda: len(world.apps[0].peers.live()) == 2)
        record_deaths(world.apps[0])
        await eventually(lambda: all(deaths(app) for app in world.apps))
        for old in range(3):
            world.kill(world.apps[old])
            app = await world.add_instance()
            await world.ready(app, 2)
            await eventually(lambda app=app: deaths(app) == MAX_DEATHS, 1.0)
        assert (await world.ask(app, TARGET)).status == 503
        assert not any(runner.received for runner in world.runners.values())

    # Guards against: deaths that instances pass on to each other never expire, and
    # a request stays refused for good.
    @in_world(engines=0, plain=1, instances=1)
    async def test_they_count_no_longer_than_at_the_others(self, world):
        first = world.apps[0]
        record_deaths(first, age_s=DEATH_MEMORY_S - 20.0)
        second = await world.add_instance()
        await world.ready(second, 1)
        await eventually(lambda: deaths(second) == MAX_DEATHS)
        now = trio.current_time()
        assert second.fleet.crash_guard.refused_for_s(DIGEST, now) <= 20.0

    # Guards against: an instance that was cut off from the others goes on to send a
    # request that they refuse.
    @in_world(engines=0, plain=1, instances=2)
    async def test_one_that_is_heard_again_is_told_too(self, world):
        first, second = world.apps
        await eventually(lambda: first.peers.live() and second.peers.live())
        for peer in (*first.peers.live(), *second.peers.live()):
            peer.last_heard_at = 1.0
        first.fleet.crash_guard.record_death(DIGEST, CrashId(EndpointId("p9")), 1e9)
        await eventually(lambda: deaths(second) == 1)


class TestInstanceLeftAlone:
    """One that hears no other one is its own evidence while it reaches endpoints."""

    # Guards against: the last instance of several never refuses a request that crashes
    # its endpoints, since no other one confirms a crash (review/3, BUDGET).
    @in_world(engines=0, plain=3, instances=2)
    async def test_a_refused_connection_is_a_crash(self, world):
        app = await leave_alone(world)
        world.runners["p0"].fault = Fault.DIE
        assert (await world.ask(app, TARGET)).status == 502
        await eventually(lambda: deaths(app) == 1)

    # Guards against: crashes that are seen in a cut of all paths to endpoints.
    @in_world(engines=0, plain=3, instances=2)
    async def test_it_is_none_while_no_endpoint_is_reached(self, world):
        app = await leave_alone(world)
        for runner in world.runners.values():
            runner.work_s = 0.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, app, TARGET)
            await trio.sleep(0.2)
            world.cut_off(app, CutKind.RESET)
        await trio.sleep(1.0)
        assert deaths(app) == 0


class TestRemainingTime:
    """Deaths that others report count for the rest of their time."""

    # Guards against: a report that is late by more than its time counts at all.
    def test_a_death_that_has_expired_is_not_recorded(self):
        guard = CrashGuard(memory_s=10.0)
        guard.record_death("request", "e1", 100.0, left_s=0.0)
        assert guard.deaths("request", 100.0) == 0
        assert len(guard) == 0

    # Guards against: of many suspicions, the ones that refuse requests aren't told.
    def test_requests_with_most_deaths_are_told_first(self):
        guard = CrashGuard(memory_s=10.0)
        guard.record_death("one", "e1", 100.0)
        for death in ("e1", "e2"):
            guard.record_death("two", death, 100.0)
        told = [fingerprint for fingerprint, _, _ in guard.suspicions(101.0)]
        assert told == ["two", "two", "one"]
