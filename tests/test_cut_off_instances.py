"""Tests for instances that are cut off from endpoints, while all else reaches them."""

import pytest
import trio

from standins.cuts import CutKind
from tests.loopback_world import in_world

DETECTED_S = 3.0  # after the cut, from which the instance serves as others do
SERVED_SHARE = 2 / 3  # of what the others serve


async def served(world, app, path, count, **options):
    """Return how many of several requests an instance answers at the first attempt."""
    statuses = []

    async def ask():
        reply = await world.ask(app, path, **options)
        statuses.append(reply.status == 200 and not reply.is_truncated)

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(ask)
            await trio.sleep(0.02)
    return sum(statuses)


class TestCutOffFromAllEndpoints:
    """Clients of an instance that reaches no endpoint are served like the others."""

    # Guards against refusing all requests while others reach the endpoints (issue 28,
    # RECOVER).
    @pytest.mark.parametrize("kind", list(CutKind))
    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
    def test_requests_are_served(self, kind, path):
        @in_world(engines=3, plain=3, instances=3)
        async def case(_, world):
            world.cut_off(world.apps[0], kind)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(served, world, world.apps[0], path, 20)
                await trio.sleep(DETECTED_S)
            cut = await served(world, world.apps[0], path, 20)
            others = await served(world, world.apps[1], path, 20)
            assert others == 20
            assert cut >= SERVED_SHARE * others

        case(self)

    @pytest.mark.parametrize("kind", [CutKind.RESET, CutKind.HANG])
    def test_most_of_the_instances_are_cut_off(self, kind):
        @in_world(engines=3, plain=3, instances=4)
        async def case(_, world):
            for app in world.apps[:3]:
                world.cut_off(app, kind)
            for app in world.apps[:3]:
                await served(world, app, "/stream/x", 5)
            await trio.sleep(DETECTED_S)
            for app in world.apps:
                assert await served(world, app, "/stream/x", 10) == 10

        case(self)


class TestWhatACutOffInstanceTellsOthers:
    """A cut-off instance doesn't take its own view for the state of the endpoints."""

    # Guards against crash evidence of endpoints that others reach.
    @in_world(engines=4, plain=0, instances=3)
    async def test_no_crash_is_reported_and_no_part_is_refused(self, world):
        for runner in world.runners.values():
            runner.events, runner.gap_s = 40, 0.02
        part = ("abc1", "def2")
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(
                    lambda: world.ask(world.apps[0], "/stream/x", parts=part)
                )
            await trio.sleep(0.3)
            world.cut_off(world.apps[0], CutKind.RESET)
            await trio.sleep(1.0)
        for runner in world.runners.values():
            runner.events = 4
        sound = await served(world, world.apps[1], "/stream/x", 8, parts=part)
        assert sound == 8
        assert await served(world, world.apps[0], "/stream/x", 8, parts=part) == 8

    # Guards against endpoints that the others take for dead.
    @in_world(engines=3, plain=3, instances=3)
    async def test_no_endpoint_is_taken_for_dead_by_the_others(self, world):
        world.cut_off(world.apps[0], CutKind.RESET)
        for path in ("/safe/x", "/stream/x"):
            await served(world, world.apps[0], path, 10)
        for app in world.apps[1:]:
            health = app.fleet.health
            now = trio.current_time()
            assert not any(health.is_failing(id, now) for id in world.runners)
