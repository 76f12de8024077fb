"""Tests for entries of other writers in the list of endpoints."""

import pytest
import trio

from foxtailsaddle.adapters import HttpcoreClient
from foxtailsaddle.errors import NothingSentError
from foxtailsaddle.forward.transport import connect
from foxtailsaddle.ports import HttpRequest
from standins.cuts import CutKind
from tests.loopback_world import in_world

# A host name whose label is longer than a name may be.
LONG_LABEL = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
UNUSABLE_ADDRESSES = [
    f"{LONG_LABEL}:8080",
    "a..b:8080",
    "archive:8080",
    "10.0.0.1:70000",
    "10.0.0.1:0",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:\u0663\u0663\u0663",
    "10.0.0.1:+80",
    "10.0.0.1: 80",
    "10.0.0.300:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "[::1]:80",
    "10.0.0.1\x00:80",
    "10.0.0.1",
]


def foreign_entry(**changes):
    """Return an entry of another writer, of a service that no configuration names."""
    return {
        "service": "archive",
        "address": f"{LONG_LABEL}:8080",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    } | changes


class TestUnusableAddress:
    """An address that nothing can be sent to is one more endpoint out of reach."""

    # Guards against an error of another type for each kind of address, which its
    # callers don't expect (review case 1, LOST).
    @pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
    def test_connecting_fails_like_to_any_other_endpoint_out_of_reach(self, address):
        with pytest.raises(NothingSentError):
            trio.run(connect, address, 0.2)

    # Guards against the end of all instances when they look for a path to an endpoint
    # beside such an entry (review case 1, LOST).
    @in_world(engines=0, plain=3, instances=3)
    async def test_no_instance_ends_when_another_endpoint_is_out_of_reach(self, world):
        for number in range(3):
            world.rows.put("servers", f"archive-{number}", foreign_entry())
        await trio.sleep(1.0)
        for app in world.apps:
            world.cut_off(app, CutKind.RESET, [world.runners["p0"]])
        for _ in range(10):
            for app in world.apps:
                assert (await world.ask(app, "/safe/x")).status == 200


class TestUnusableUrl:
    """The same at the product's own front door, whose settings name URLs."""

    # Guards against an error that ends the polls of all endpoints because of one.
    @pytest.mark.parametrize(
        "address",
        ["127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:" + "9" * 5000, "..:80"],
    )
    @pytest.mark.parametrize("new_connection", [False, True])
    def test_an_address_that_can_not_be_used_is_out_of_reach(
        self, address, new_connection
    ):
        async def ask():
            request = HttpRequest(
                "GET", f"http://{address}/load", new_connection=new_connection
            )
            async with HttpcoreClient().exchange(request):
                pass

        with pytest.raises(NothingSentError):
            trio.run(ask)


class TestUnknownService:
    # Guards against connections to other programs, and against taking their answer for
    # a sign that endpoints are within reach.
    @in_world(engines=0, plain=2, instances=2)
    async def test_its_endpoints_are_not_contacted(self, world):
        connections = []

        async def accept(stream):
            connections.append(stream)
            await stream.aclose()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        world.nursery.start_soon(trio.serve_listeners, accept, listeners)
        host, port = listeners[0].socket.getsockname()
        world.rows.put("servers", "archive", foreign_entry(address=f"{host}:{port}"))
        await trio.sleep(1.0)
        for app in world.apps:
            world.cut_off(app, CutKind.RESET)
        for _ in range(5):
            for app in world.apps:
                assert (await world.ask(app, "/safe/x")).status >= 500
                await trio.sleep(0.1)
        await trio.sleep(1.0)
        assert connections == []
