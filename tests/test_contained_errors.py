"""Tests for errors that must not spread: one connection, one check, one descriptor."""

import errno
import math
from unittest import mock

import trio

from standins.runner import Fault
from tests.log_records import recorded_logs
from tests.loopback_world import in_world


class TestInternalConnections:
    """An error on one connection between instances ends that connection only."""

    # Guards against any other error of that kind: the page itself is at fault here.
    @in_world(engines=0, plain=1, instances=1)
    async def test_an_unexpected_error_ends_the_connection_only(self, world):
        app = world.apps[0]

        def broken_count():
            raise ZeroDivisionError

        app.peers.count_live_instances = broken_count
        with recorded_logs() as logs:
            await self.ask_metrics(app)
            await self.ask_metrics(app)
            assert logs.with_message("control: unexpected error")
        assert (await world.ask(app, "/safe/x")).status == 200

    @staticmethod
    async def ask_metrics(app):
        """Ask for a page, and wait until the connection has ended."""
        settings = app.env.settings
        stream = await trio.open_tcp_stream(settings.host, settings.metrics_port)
        async with stream:
            await stream.send_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            with trio.fail_after(2):
                assert await stream.receive_some() == b""


class TestDescriptors:
    # Guards against the end of the process when it has no descriptor left for the
    # connections of others.
    @in_world(engines=0, plain=1, instances=1)
    async def test_connections_wait_while_there_is_none(self, world):
        app = world.apps[0]
        socket_type = type(app.peers._sock)
        original, refused = socket_type.accept, []

        async def accept(sock):
            if len(refused) < 6:
                refused.append(sock)
                raise OSError(errno.EMFILE, "too many open files")
            return await original(sock)

        with mock.patch.object(socket_type, "accept", accept):
            for _ in range(4):
                assert await world.is_ready(app)
                assert (await world.ask(app, "/safe/x")).status == 200
        assert len(refused) == 6


class TestBackgroundTasks:
    """An error in a check that runs beside the requests ends this check only."""

    # Guards against the end of the process by an error while a crash is looked into.
    @in_world(engines=0, plain=2, instances=1)
    async def test_an_unexpected_error_in_a_check_is_logged(self, world):
        app = world.apps[0]
        app.fleet.paths.was_cut = lambda *_: math.nan / 0
        world.runners["p0"].fault = Fault.RESET
        with recorded_logs() as logs:
            for _ in range(8):
                assert (await world.ask(app, "/safe/x")).status == 200
            await trio.sleep(1.5)
            assert logs.with_message("tasks: unexpected error")
        assert (await world.ask(app, "/safe/x")).status == 200
