"""Tests for keys and secrets, and for the isolation of accounts."""

import socket
import time

import pytest
import trio

from foxtailsaddle.adapters import HttpcoreClient
from standins.caller import Caller
from standins.fleet import CALLER_KEY, HOST, OPERATOR_KEY, Fleet, sha256
from standins.world import World, run_world

SECRET = "the park's secret finding"
OTHER_KEY = "another account's key"
TWO_ACCOUNTS = {
    "accounts": {
        "inspector": {"key_sha256": [sha256(CALLER_KEY)]},
        "insurer": {"key_sha256": [sha256(OTHER_KEY)]},
    }
}


class TestAccountIsolation:
    def test_an_answer_cannot_be_read_with_a_guessed_idempotency_key(self):
        async def scenario(world: World) -> None:
            url = world.url("i1")
            first = await world.caller().call(url, "sign", b"{}", "k", 3.0)
            other = await world.caller(OTHER_KEY).call(url, "sign", b"{}", "k", 3.0)
            assert (first.code, other.code) == ("ok", "ok")
            assert first.text != other.text
            assert len(world.plain_by_name["p1"].ran) == 2

        run_world(scenario, tree=TWO_ACCOUNTS)

    def test_a_quarantine_does_not_affect_another_account(self):
        async def scenario(world: World) -> None:
            for model in world.engine_by_name.values():
                model.knobs.crash_marker = "poison"
            url = world.url("i1")
            own_result = await world.caller().complete(url, "poison", 4, 10)
            assert own_result.code == "quarantined"
            for model in world.engine_by_name.values():
                model.knobs.crash_marker = ""
            other_result = await world.caller(OTHER_KEY).complete(url, "poison", 4, 10)
            assert other_result.code == "ok"

        run_world(scenario, engines=5, tree=TWO_ACCOUNTS)


class TestSecrets:
    @pytest.fixture
    def fleet(self, tmp_path):
        with Fleet(tmp_path, instances=1, instance={"drain_s": 0.2}) as running:
            time.sleep(1)
            yield running

    def test_logs_contain_no_keys_and_no_prompts(self, fleet, tmp_path):
        async def main() -> None:
            client = HttpcoreClient()
            url = fleet.process_by_name["i1"].url
            await Caller(client).complete(url, SECRET, 4, 10)
            await Caller(client, "wrong key").complete(url, SECRET, 4, 10)
            await Caller(client).call(url, "sign", SECRET.encode(), "k")
            await client.aclose()

        trio.run(main)
        text = (tmp_path / "i1.log").read_text()
        assert "callers: request ended" in text
        for secret in (CALLER_KEY, OPERATOR_KEY, "wrong key", SECRET):
            assert secret not in text

    def test_headers_over_the_limit_are_refused(self, fleet):
        port = fleet.instance_ports["i1"][0]
        with socket.create_connection((HOST, port)) as sock:
            sock.settimeout(5)
            sock.sendall(b"GET /readyz HTTP/1.1\r\nhost: x\r\n")
            sock.sendall(b"x-long: " + b"x" * 70_000 + b"\r\n\r\n")
            answer = sock.recv(100)
            assert answer == b"" or answer.startswith(b"HTTP/1.1 4")


class TestConcurrencyLimit:
    def test_requests_over_the_limit_are_refused_at_once(self):
        async def scenario(world: World) -> None:
            seen = []

            async def send_one(number: int) -> None:
                prompt = f"{number} " + "x" * 80_000
                url = world.url("i1")
                seen.append(await world.caller().complete(url, prompt, 4, 30))

            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(send_one, number)
            codes = [item.code for item in seen]
            assert codes.count("ok") == 10
            assert codes.count("not_ready") == 2

        run_world(scenario, tree={"base": {"max_concurrent": 10}})
