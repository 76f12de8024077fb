"""Tests for calls that run at most once, under failures.

Most scenarios run twice: they must pass, and they must fail while a patch
disables the mechanism behind the guarantee.
"""

from unittest import mock

import trio

from foxtailsaddle.app import _idempotency_ledger
from standins.caller import CallRecord
from standins.world import PLATFORM_ADDRESS, World, run_world

from . import history
from .scenarios import fails_without


class TestAtMostOnce:
    """A call that may not be repeated runs at most once.

    The ledger on the platform stores a claim and then the outcome for each key.
    """

    async def resent_calls(self, world: World) -> None:
        """Every call goes to two instances at once, and some answers are lost."""
        seen: list[CallRecord] = []

        async def send(instance: str, number: int) -> None:
            body = f'{{"record": {number}}}'.encode()
            caller = world.caller()
            for _ in range(4):
                url = world.url(instance)
                item = await caller.call(url, "sign", body, f"key-{number}", 6.0)
                seen.append(item)
                if item.code == "ok":
                    return
                await trio.sleep(item.retry_after_s or 1)

        async with trio.open_nursery() as nursery:
            for number in range(10):
                if number % 3 == 0:
                    world.platform.knobs.lost_answers += 1
                if number % 4 == 0:
                    world.plain_by_name["p1"].knobs.lost_answers += 1
                nursery.start_soon(send, "i1", number)
                nursery.start_soon(send, "i2", number)
                await trio.sleep(0.2)
        history.check_at_most_once(world)
        history.check_answered_calls_ran(world, seen)
        history.check_one_answer_per_key(seen)
        assert {item.code for item in seen} >= {"ok"}

    async def late_claim(self, world: World) -> None:
        """A claim that the platform stores late does not block its key for good."""
        knobs = world.platform.knobs
        knobs.update({"late_writes": 1, "late_by_s": 8.0})
        async with trio.open_nursery() as nursery:

            async def outage() -> None:
                await trio.sleep(1)
                knobs.down = True
                await trio.sleep(5)
                knobs.down = False

            nursery.start_soon(outage)
            caller = world.caller()
            first = await caller.call(world.url("i1"), "sign", b"{}", "k", 3.0)
            assert first.verdict == "not_run"
        await trio.sleep(15)
        second = await caller.call(world.url("i2"), "sign", b"{}", "k", 3.0)
        assert second.code == "ok", second

    def test_holds_when_calls_are_resent_and_answers_are_lost(self):
        run_world(self.resent_calls, plain_services=2)

    def test_fails_without_the_ledger(self):
        async def claim(keeper, entry):
            return _idempotency_ledger.Claim(entry, 0)

        patch = mock.patch.object(_idempotency_ledger.IdempotencyLedger, "claim", claim)
        fails_without(self.resent_calls, patch, plain_services=2)

    def test_a_late_write_does_not_block_its_key(self):
        run_world(self.late_claim)

    def test_fails_without_the_fence(self):
        keeper = _idempotency_ledger.IdempotencyLedger
        patch = mock.patch.object(
            keeper, "_release_in_background", lambda *_, **__: None
        )
        fails_without(self.late_claim, patch)

    async def lost_outcome(self, world: World) -> None:
        """The instance dies after the call ran and before its outcome is stored."""
        world.plain_by_name["p1"].knobs.lost_answers = 1
        async with trio.open_nursery() as nursery:
            caller = world.caller()
            nursery.start_soon(caller.call, world.url("i1"), "sign", b"{}", "k", 4.0)
            await trio.sleep(1)
            world.kill("i1")
            early = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
            assert early.code == "in_progress"
            nursery.cancel_scope.cancel()
        await trio.sleep(5)
        result = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
        assert len(world.plain_by_name["p1"].ran) == 1
        self.result = result
        await trio.sleep(1)
        (row,) = world.platform.tables["ledger"].values()
        self.stored_state = row[1]["state"]

    def test_a_lost_outcome_is_read_from_the_service(self):
        path = {"outcome_path": "attempts/{attempt}", "kind": "plain"}
        endpoints = {"p1": {"url": "http://10.0.3.1:80"}}
        service = {**path, "repeatable": False, "endpoints": endpoints}
        run_world(self.lost_outcome, tree={"services": {"register": service}})
        assert self.result.code == "ok"
        assert self.stored_state == "done"

    def test_a_lost_outcome_is_unknown_without_an_outcome_path(self):
        run_world(self.lost_outcome)
        assert (self.result.code, self.result.verdict) == (
            "outcome_unknown",
            "may_have_run",
        )

    def test_another_body_under_a_used_key_is_refused(self):
        async def scenario(world: World) -> None:
            caller = world.caller()
            first = await caller.call(world.url("i1"), "sign", b"{}", "k", 3.0)
            other = await caller.call(world.url("i2"), "sign", b"[]", "k", 3.0)
            again = await caller.call(world.url("i3"), "sign", b"{}", "k", 3.0)
            assert (first.code, other.code) == ("ok", "idempotency_key_reused")
            assert again.text == first.text
            history.check_at_most_once(world)

        run_world(scenario)

    def test_calls_are_refused_at_once_while_the_platform_is_down(self):
        async def scenario(world: World) -> None:
            world.network.host_by_address[PLATFORM_ADDRESS].listening = False
            caller = world.caller()
            seen = await caller.call(world.url("i1"), "sign", b"{}", "k", 30.0)
            assert (seen.code, seen.verdict) == ("platform_unavailable", "not_run")
            assert seen.total_s < 1
            prompt = await caller.complete(world.url("i1"), "hello", 4, 10.0)
            assert prompt.code == "ok"

        run_world(scenario)

    def test_the_ledger_names_the_instance_that_claimed_a_key(self):
        async def scenario(world: World) -> None:
            await world.caller().call(world.url("i1"), "sign", b"{}", "k", 3.0)
            entry = await world.operator("i2").ledger("inspector", "register", "k")
            assert entry["state"] == "done"
            assert entry["token"].startswith("i1~")

        run_world(scenario)
