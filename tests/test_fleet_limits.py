"""Tests that all instances together keep to the limits that endpoints name."""

import bisect

import pytest
import trio

from tests.loopback_world import in_world

WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5  # of what the limit allows in the window
ALLOWED_SLACK = 5  # requests in the window beyond that
SETTLE_S = 1.0  # from the first response that names a limit
RUN_S = 6.5


def most_in_window(times):
    """Return the largest number of requests in any window."""
    return max(
        bisect.bisect_left(times, start + WINDOW_S) - index
        for index, start in enumerate(times)
    )


def assert_kept(runner, per_s, since):
    """Check that a runner got no more requests than its limit allows."""
    times = [at for at in runner.requests_at if at >= since]
    allowed = ALLOWED_FACTOR * WINDOW_S * per_s + ALLOWED_SLACK
    assert not times or most_in_window(times) <= allowed, (runner.id, len(times))


def set_limit(world, prefix, per_s):
    for id, runner in world.runners.items():
        if id.startswith(prefix):
            runner.limit_per_s = str(per_s)


async def send_steadily(world, path, per_s, for_s=RUN_S, apps=None):
    """Send requests to all instances in turn; return the statuses of the answers."""
    statuses = []

    async def ask(app):
        reply = await world.ask(app, path)
        statuses.append(reply.status)

    ends_at = trio.current_time() + for_s
    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < ends_at:
            current = apps or world.apps
            nursery.start_soon(ask, current[number % len(current)])
            number += 1
            await trio.sleep(1 / per_s)
    return statuses


class TestLimitOverAllInstances:
    """Whatever the number of instances, an endpoint gets what its limit allows."""

    # Guards against requests beyond a limit that an endpoint named (issue 28, LIMIT).
    @pytest.mark.parametrize(("instances", "per_s"), [(3, 4), (10, 1)])
    def test_plain_endpoints(self, instances, per_s):
        @in_world(engines=0, plain=2, instances=instances)
        async def case(_, world):
            set_limit(world, "p", per_s)
            since = trio.current_time() + SETTLE_S
            await send_steadily(world, "/safe/x", 40)
            for runner in world.runners.values():
                assert_kept(runner, per_s, since)

        case(self)

    # Guards against the same by streams, whose engines are also asked for reports.
    @pytest.mark.parametrize(("instances", "per_s"), [(3, 4), (10, 1)])
    def test_engines(self, instances, per_s):
        @in_world(engines=3, plain=0, instances=instances)
        async def case(_, world):
            set_limit(world, "e", per_s)
            since = trio.current_time() + SETTLE_S
            await send_steadily(world, "/stream/x", 40)
            for runner in world.runners.values():
                assert_kept(runner, per_s, since)

        case(self)
