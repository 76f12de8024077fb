"""Tests for requests that arrive on the users' platform, and for their answers."""

import dataclasses
import json
import socket
from unittest import mock

import pytest
import trio

from foxtailsaddle import forward
from foxtailsaddle.core import CrashId, EndpointDeath, EndpointId
from foxtailsaddle.errors import (
    ExchangeBrokenError,
    OverloadedError,
    SettingsError,
)
from foxtailsaddle.forward._admission import Admission
from foxtailsaddle.forward._fleet import fingerprint
from foxtailsaddle.forward.plain import PlainForwarder
from standins.front_world import ACCOUNT, HOST, configuration
from standins.runner import Fault
from tests.loopback_world import eventually, in_world


class TestForwarding:
    @in_world()
    async def test_method_path_and_body_are_unchanged(self, world):
        body = bytes(range(256)) * 20
        target = "/safe/a%2fb/../c;d=1?x=%20&y"
        await world.ask(world.apps[0], target, body=body, method="PUT")
        seen = [request for p in ("p0", "p1") for request in world.runners[p].received]
        assert [(r.method, r.target, r.body) for r in seen] == [("PUT", target, body)]

    @in_world()
    async def test_the_answer_keeps_seal_and_body(self, world):
        reply = await world.ask(world.apps[0], "/safe/x")
        assert reply.status == 200
        assert reply.headers["x-server-seal"].startswith("p")
        assert json.loads(reply.body)["by"] in ("p0", "p1")

    @in_world(plain=1)
    async def test_reserved_headers_of_the_client_are_replaced(self, world):
        spoofed_headers = {
            "X-Tenant": "someone",
            "X-Expect-Instance": "other",
            "X-Request-Priority": "0",
            "X-Helpers": "10.0.0.1:80",
            "X-Kept": "yes",
        }
        await world.ask(world.apps[0], "/safe/x", headers=spoofed_headers)
        headers = world.runners["p0"].received[0].headers
        assert headers["x-tenant"] == ACCOUNT
        assert headers["x-expect-instance"] == "p0"
        assert headers["x-kept"] == "yes"
        assert "authorization" not in headers
        assert "x-helpers" not in headers
        assert "x-request-priority" not in headers
        assert 2000 < int(headers["x-deadline-ms"]) <= 3000

    @in_world(plain=1)
    async def test_a_chunked_body_arrives_complete(self, world):
        async with await world.open(world.apps[0]) as client:
            head = client.encode_request("/safe/x").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            await client.stream.send_all(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await client.reply()).status == 200
        assert world.runners["p0"].received[0].body == b"abcde"

    @in_world(plain=1)
    async def test_pipelined_requests_are_answered_in_order(self, world):
        async with await world.open(world.apps[0]) as client:
            first = client.encode_request("/safe/1")
            await client.stream.send_all(first + first.replace(b"/safe/1", b"/safe/2"))
            data = b""
            while data.count(b"HTTP/1.1 200") < 2:
                data += await client.stream.receive_some(4096)
        seen = [request.target for request in world.runners["p0"].received]
        assert seen == ["/safe/1", "/safe/2"]

    @in_world(plain=1)
    async def test_a_connection_serves_many_requests(self, world):
        async with await world.open(world.apps[0]) as client:
            for _ in range(5):
                assert (await client.ask("/safe/x")).status == 200


class TestRefusals:
    @in_world()
    async def test_a_path_without_route_is_404(self, world):
        reply = await world.ask(world.apps[0], "/nowhere/x")
        assert reply.status == 404
        assert json.loads(reply.body)["code"] == "service_unknown"
        assert reply.headers["x-request-id"]

    @in_world()
    async def test_another_host_is_404(self, world):
        assert (
            await world.ask(world.apps[0], "/safe/x", host="no.example")
        ).status == 404

    @in_world()
    async def test_an_unknown_key_is_401(self, world):
        reply = await world.ask(world.apps[0], "/safe/x", key="wrong")
        assert reply.status == 401
        assert not world.runners["p0"].received

    @in_world()
    async def test_a_public_route_needs_no_key(self, world):
        assert (await world.ask(world.apps[0], "/open/x", key=None)).status == 200

    @in_world()
    async def test_a_body_over_the_limit_is_413(self, world):
        reply = await world.ask(world.apps[0], "/safe/x", body=b"x" * 100_001)
        assert reply.status == 413

    @in_world()
    async def test_headers_over_the_limit_are_431(self, world):
        headers = {"X-Big": "x" * 9000}
        reply = await world.ask(world.apps[0], "/safe/x", headers=headers)
        assert reply.status == 431

    @in_world(plain=1)
    async def test_a_smuggled_request_reaches_no_endpoint(self, world):
        inner = b"GET /safe/smuggled HTTP/1.1\r\nHost: %s\r\n\r\n" % HOST.encode()
        async with await world.open(world.apps[0]) as client:
            data = client.encode_request("/safe/x", body=inner).replace(
                b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n", 1
            )
            await client.stream.send_all(data)
            assert (await client.reply()).status == 400
        assert not world.runners["p0"].received

    @in_world()
    async def test_malformed_bytes_are_400(self, world):
        async with await world.open(world.apps[0]) as client:
            client.encode_request("/safe/x")
            await client.stream.send_all(b"\x00\x01\x02 nonsense\r\n\r\n")
            assert (await client.reply()).status == 400

    @in_world(plain=0, engines=0)
    async def test_a_service_without_endpoints_is_503_with_retry_after(self, world):
        reply = await world.ask(world.apps[0], "/unsafe/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert json.loads(reply.body)["verdict"] == "not_run"


class TestBeforeTheFirstConfiguration:
    @in_world(instances=0)
    async def test_the_instance_is_not_ready_and_answers_503(self, world):
        world.rows.knobs.refuse = 503
        app = await world.add_instance()
        await trio.sleep(0.2)
        assert not await world.is_ready(app)
        reply = await world.ask(app, "/safe/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0


class TestFailingEndpoints:
    @in_world(plain=2)
    async def test_a_safe_call_is_retried_at_another_endpoint(self, world):
        for fault in (
            Fault.ERROR,
            Fault.RESET,
            Fault.GARBAGE,
            Fault.TRUNCATE,
            Fault.OTHER_ID,
            Fault.REFUSE,
            Fault.MISDIRECTED,
        ):
            world.runners["p0"].fault = fault
            for _ in range(3):
                reply = await world.ask(world.apps[0], "/safe/x")
                assert reply.status == 200, fault
                assert json.loads(reply.body)["by"] == "p1"

    @in_world(plain=1)
    async def test_an_unsafe_call_runs_once_and_its_outcome_is_unknown(self, world):
        for fault in (Fault.RESET, Fault.GARBAGE, Fault.TRUNCATE, Fault.OTHER_ID):
            world.runners["p0"].runs.clear()
            world.runners["p0"].faults = [fault]
            reply = await world.ask(world.apps[0], "/unsafe/x")
            assert reply.status == 502, fault
            assert len(world.runners["p0"].runs) == 1
            assert json.loads(reply.body)["verdict"] == "may_have_run"

    @in_world(plain=2)
    async def test_a_refused_unsafe_call_is_retried_at_another_endpoint(self, world):
        world.runners["p0"].fault = Fault.REFUSE
        for _ in range(4):
            assert (await world.ask(world.apps[0], "/unsafe/x")).status == 200
        assert not world.runners["p0"].runs

    @in_world(plain=1)
    async def test_a_refused_call_has_the_verdict_not_run(self, world):
        world.runners["p0"].fault = Fault.REFUSE
        reply = await world.ask(world.apps[0], "/unsafe/x")
        assert reply.status == 503
        assert json.loads(reply.body)["verdict"] == "not_run"

    @in_world(plain=1)
    async def test_the_error_of_an_endpoint_is_forwarded_with_its_seal(self, world):
        world.runners["p0"].fault = Fault.ERROR
        reply = await world.ask(world.apps[0], "/unsafe/x")
        assert reply.status == 500
        assert "x-server-seal" in reply.headers

    @in_world(plain=1)
    async def test_a_second_answer_to_one_request_is_dropped(self, world):
        world.runners["p0"].fault = Fault.EXTRA
        async with await world.open(world.apps[0]) as client:
            for _ in range(3):
                assert (await client.ask("/safe/x")).status == 200

    @in_world(plain=1)
    async def test_an_answer_without_length_arrives_complete(self, world):
        world.runners["p0"].fault = Fault.UNFRAMED
        reply = await world.ask(world.apps[0], "/safe/x")
        assert json.loads(reply.body)["by"] == "p0"

    @in_world(plain=1)
    async def test_a_call_past_its_deadline_is_504(self, world):
        world.runners["p0"].fault = Fault.HANG
        started_at = trio.current_time()
        headers = {"X-Deadline-Ms": "600"}
        reply = await world.ask(world.apps[0], "/unsafe/x", headers=headers)
        assert reply.status == 504
        assert 0.5 < trio.current_time() - started_at < 1.1

    @in_world(plain=1)
    async def test_the_timeout_of_the_route_limits_the_deadline_of_the_client(
        self, world
    ):
        app = world.apps[0]
        shorter_timeouts = configuration(5)
        for route in shorter_timeouts["routes"]:
            route["timeout_ms"] = 500
        world.rows.put("op", "config", shorter_timeouts)
        await eventually(lambda: app.fleet.route_table.version == 5, 1.0)
        world.runners["p0"].fault = Fault.HANG
        started_at = trio.current_time()
        headers = {"X-Deadline-Ms": "9000"}
        reply = await world.ask(app, "/unsafe/x", headers=headers)
        assert reply.status == 504
        assert 0.4 < trio.current_time() - started_at < 1.0

    @in_world(plain=1)
    async def test_a_call_does_not_run_at_an_address_with_another_endpoint(self, world):
        world.rows.put("servers", "p0", world.runners["p0"].entry(state="gone"))
        world.rows.put("servers", "was-p0", world.runners["p0"].entry())
        app = world.apps[0]
        await eventually(lambda: app.fleet.endpoints.get("was-p0"))
        reply = await world.ask(app, "/unsafe/x")
        assert reply.status == 503
        assert not world.runners["p0"].runs


class TestErrorsAtTheDeadline:
    # Guards against: an error that meets the cancellation at the deadline becomes an
    # internal error, and a request that has not run is answered with 500.
    @in_world(plain=1, engines=0)
    async def test_the_error_is_passed_on(self, world):
        async def fail_when_cancelled(*_):
            try:
                await trio.sleep_forever()
            finally:
                raise OverloadedError("no engine can start in time", retry_after_s=1.0)

        with mock.patch.object(Admission, "forward", fail_when_cancelled):
            headers = {"X-Deadline-Ms": "200"}
            reply = await world.ask(world.apps[0], "/safe/x", headers=headers)
        assert reply.status == 503


class TestNoTimeLeft:
    # Guards against an internal error (500) for a request that was not sent (soak seed
    # 31000, on a machine that stalled).
    @pytest.mark.parametrize("late_s", [0.0, 0.02])
    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    def test_a_request_that_was_not_sent_in_time_is_refused(self, path, late_s):
        choose = PlainForwarder._choose_admitted

        async def choose_too_late(forwarder, context):
            endpoint = await choose(forwarder, context)
            await trio.sleep_until(context.expires_at + late_s)
            return endpoint

        @in_world(engines=0, plain=1)
        async def case(_, world):
            patch = mock.patch.object(
                PlainForwarder, "_choose_admitted", choose_too_late
            )
            with patch:
                headers = {"X-Deadline-Ms": "300"}
                reply = await world.ask(world.apps[0], path, headers=headers)
            assert reply.status == 503
            assert not world.runners["p0"].received

        case(self)


class TestRepeatedRequests:
    # Guards against: a call that is often repeated is refused, since endpoints crashed
    # for another reason while they ran it.
    @in_world(plain=1, engines=0)
    async def test_an_answer_clears_a_request_of_crashes(self, world):
        fleet = world.apps[0].fleet
        digest = fingerprint(ACCOUNT, "/safe/x", b"")
        for number in range(2):
            death = EndpointDeath(digest, CrashId(EndpointId(f"gone-{number}")))
            fleet.apply_death(death, trio.current_time())
        assert (await world.ask(world.apps[0], "/safe/x")).status == 200
        assert fleet.crash_guard.deaths(digest, trio.current_time()) == 0


class TestDisconnectingClients:
    @in_world(plain=1)
    async def test_a_call_is_cancelled_within_half_a_second(self, world):
        world.runners["p0"].fault = Fault.HANG
        client = await world.open(world.apps[0])
        await client.stream.send_all(client.encode_request("/safe/x"))
        await eventually(lambda: world.runners["p0"].runs)
        await client.stream.aclose()
        await eventually(lambda: world.runners["p0"].runs[0].cancelled, 0.5)

    @in_world(engines=1)
    async def test_a_stream_is_cancelled_within_half_a_second(self, world):
        world.runners["e0"].events = 1000
        client = await world.open(world.apps[0])
        await client.stream.send_all(client.encode_request("/stream/x"))
        await client.stream.receive_some(100)
        await client.stream.aclose()
        await eventually(lambda: world.runners["e0"].runs[0].cancelled, 0.5)
        app = world.apps[0]
        assert len(app.fleet.engine_loads) == 0


class TestShutdown:
    @in_world(plain=1)
    async def test_a_graceful_shutdown_interrupts_no_request(self, world):
        world.runners["p0"].work_s = 1.0
        app = world.apps[0]
        client = await world.open(app)
        await client.stream.send_all(client.encode_request("/unsafe/x"))
        await eventually(lambda: world.runners["p0"].runs)
        app.drain()
        await trio.sleep(0.05)
        assert not await world.is_ready(app)
        assert (await client.reply()).status == 200
        late_reply = await world.ask(app, "/unsafe/x")
        assert late_reply.status == 200
        assert late_reply.headers["connection"] == "close"

    @in_world(plain=1)
    async def test_a_request_too_late_to_finish_is_refused(self, world):
        app = world.apps[0]
        async with await world.open(app) as client, await world.open(app) as busy:
            assert (await client.ask("/unsafe/x")).status == 200
            world.runners["p0"].work_s = 3.5
            await busy.stream.send_all(busy.encode_request("/unsafe/x"))
            app.drain()
            await trio.sleep(2.9)
            reply = await client.ask("/unsafe/x")
            assert reply.status == 503
            assert "retry-after" in reply.headers


class TestMalformedInput:
    @in_world(plain=1, instances=2)
    async def test_from_peers_and_store_stops_no_instance(self, world):
        first, second = world.apps
        await eventually(lambda: first.peers.live() and second.peers.live())
        address = (first.env.settings.host, first.env.settings.peer_port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"", b"\x00" * 40, b"nonsense", bytes(range(256))):
                sock.sendto(data, address)
        world.rows.put("instances", "broken", b"\xff\xfe no address")
        await trio.sleep(0.3)
        assert (await world.ask(first, "/safe/x")).status == 200
        assert first.peers.live()


class TestStoreConnection:
    @in_world(plain=0, engines=0)
    async def test_a_lost_answer_closes_the_connection(self, world):
        world.rows.knobs.lose_writes = 1
        store = forward.KeepAliveHttpClient(world.store.address)
        body = json.dumps({"writes": [], "delete": []}).encode()
        with pytest.raises(ExchangeBrokenError):
            await store.call("POST", "/rows-tx", body, 0.2)
        reply = await store.call("POST", "/rows-tx", body, 1.0)
        assert reply.status == 200
        await store.aclose()


class TestSlowClients:
    """A client that stops in the middle of its request is told so."""

    @in_world(plain=1, engines=0)
    async def test_incomplete_headers_time_out(self, world):
        async with await world.open(world.apps[0]) as client:
            await client.stream.send_all(b"POST /safe/x HTTP/1.1\r\nHost:")
            assert await received_status(client) == 408

    @in_world(plain=1, engines=0)
    async def test_an_incomplete_body_times_out(self, world):
        async with await world.open(world.apps[0]) as client:
            request = client.encode_request("/safe/x", body=b"12345678")
            await client.stream.send_all(request[:-4])
            assert (await client.reply()).status == 408

    @in_world(plain=1, engines=0)
    async def test_an_idle_connection_is_closed_without_an_answer(self, world):
        async with await world.open(world.apps[0]) as client:
            with trio.fail_after(5):
                assert await client.stream.receive_some(100) == b""


async def received_status(client):
    """Return the status of an answer to a request that was not complete."""
    data = b""
    with trio.fail_after(5):
        while chunk := await client.stream.receive_some(1000):
            data += chunk
    return int(data.split()[1])


class TestReload:
    """Settings that need no restart take effect on SIGHUP."""

    @in_world(plain=1, engines=0)
    async def test_the_retry_budget_changes(self, world):
        app = world.apps[0]
        changed = dataclasses.replace(
            app.env.settings, retry_ratio=0.0, retry_slack=0.0
        )
        app.env = dataclasses.replace(app.env, reload=lambda: changed)
        assert app.fleet.may_retry("plain", trio.current_time())
        app.reload()
        assert not app.fleet.may_retry("plain", trio.current_time())

    @in_world(plain=1, engines=0)
    async def test_new_seeds_are_contacted(self, world):
        app = world.apps[0]
        host = app.env.settings.host.rpartition(".")[0] + ".9"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as seed:
            seed.bind((host, app.peers.port))
            seed.settimeout(3)
            changed = dataclasses.replace(app.env.settings, seeds=(f"{host}:1",))
            app.env = dataclasses.replace(app.env, reload=lambda: changed)
            app.reload()
            assert await trio.to_thread.run_sync(seed.recv, 1000)

    @in_world(plain=1, engines=0)
    async def test_invalid_settings_change_nothing(self, world):
        app = world.apps[0]

        def fail():
            raise SettingsError("listen.front: missing")

        app.env = dataclasses.replace(app.env, reload=fail)
        app.reload()
        assert app.fleet.may_retry("plain", trio.current_time())
        assert (await world.ask(app, "/safe/x")).status == 200
