"""Tests for the limits that endpoints name for all instances together."""

import trio

from foxtailsaddle.core import (
    NO_LIMIT,
    NO_NOTICE,
    DataCentre,
    EndpointId,
    EndpointLimits,
    EndpointState,
    ListedEndpoint,
    NamedLimit,
    ServiceId,
)
from foxtailsaddle.platform import PlatformHeaderCodec
from standins.runner import Fault
from tests.log_records import recorded_logs
from tests.loopback_world import in_world

ENDPOINT = EndpointId("p0")
BORN_MS = 1000


def entry(born_ms=BORN_MS):
    return ListedEndpoint(
        ENDPOINT,
        ServiceId("plain"),
        "127.0.0.1:1",
        DataCentre("a"),
        EndpointState.READY,
        born_ms=born_ms,
    )


def limit(per_s, heard_at, born_ms=BORN_MS):
    return NamedLimit(ENDPOINT, born_ms, per_s, heard_at)


def notice(*headers, status=200):
    return PlatformHeaderCodec().read_response(status, list(headers)).notice


class TestHeader:
    """The limit is a decimal number of requests a second."""

    def test_decimal_numbers(self):
        assert notice((b"server-limit", b"4")).limit_per_s == 4.0
        assert notice((b"server-limit", b"0.5")).limit_per_s == 0.5

    def test_a_response_without_it_names_no_limit(self):
        assert notice() == NO_NOTICE

    def test_a_malformed_one_is_told_from_none(self):
        for value in (b"many", b"-1", b"1e3", b"nan", b""):
            malformed = notice((b"server-limit", value))
            assert malformed.limit_per_s is None and malformed.has_unreadable_limit

    def test_the_response_of_another_endpoint_says_nothing(self):
        assert notice((b"server-limit", b"4"), status=421) == NO_NOTICE


class TestRecordedLimits:
    """A limit concerns one start, and what was heard last counts."""

    def test_an_endpoint_without_a_limit_is_not_remembered(self):
        limits = EndpointLimits()
        assert not limits.record(limit(NO_LIMIT, 1.0))
        assert not limits.known()

    def test_it_changes_and_ends(self):
        limits = EndpointLimits()
        assert limits.record(limit(4.0, 1.0))
        assert not limits.record(limit(4.0, 2.0))
        assert limits.record(limit(2.0, 3.0))
        assert limits.limit_of(entry()).per_s == 2.0
        assert limits.record(limit(NO_LIMIT, 4.0))
        assert limits.limit_of(entry()) is None

    # Guards against a limit that comes back by an announcement from before its end.
    def test_an_earlier_statement_does_not_bring_it_back(self):
        limits = EndpointLimits()
        limits.record(limit(4.0, 1.0))
        limits.record(limit(NO_LIMIT, 3.0))
        assert not limits.record(limit(4.0, 2.0))
        assert limits.limit_of(entry()) is None

    def test_a_later_start_has_no_limit(self):
        limits = EndpointLimits()
        limits.record(limit(4.0, 1.0))
        assert limits.limit_of(entry(BORN_MS + 1)) is None
        assert limits.record(limit(4.0, 2.0, BORN_MS + 1))
        assert not limits.record(limit(9.0, 3.0, BORN_MS))

    def test_a_forgotten_endpoint_has_none(self):
        limits = EndpointLimits()
        limits.record(limit(4.0, 1.0))
        limits.forget(ENDPOINT)
        assert not limits.known()


class TestLimitLogs:
    """Logs say which endpoint names which limit, and when it ends."""

    @in_world(plain=1, engines=0)
    async def test_a_limit_and_its_end_are_logged_once_each(self, world):
        runner = world.runners["p0"]
        with recorded_logs() as logs:
            runner.limit_per_s = "50"
            for _ in range(3):
                await world.ask(world.apps[0], "/safe/x")
            runner.limit_per_s = ""
            await trio.sleep(0.05)
            for _ in range(3):
                await world.ask(world.apps[0], "/safe/x")
        assert len(logs.with_message("limits: endpoint names a limit")) == 1
        assert len(logs.with_message("limits: limit ended")) == 1

    @in_world(plain=1, engines=0)
    async def test_a_failed_response_without_it_ends_no_limit(self, world):
        runner = world.runners["p0"]
        runner.limit_per_s = "50"
        await world.ask(world.apps[0], "/safe/x")
        runner.limit_per_s = ""
        for fault in (Fault.REFUSE, Fault.ERROR, Fault.OTHER_ID):
            runner.fault = fault
            await world.ask(world.apps[0], "/unsafe/x")
        (listed,) = world.apps[0].fleet.endpoints.all()
        assert world.apps[0].fleet.endpoint_limits.limit_of(listed).per_s == 50.0
