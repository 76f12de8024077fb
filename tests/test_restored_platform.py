"""Tests for the own interface on a platform that is restored from a backup.

Load pattern: the platform loses some seconds of acknowledged writes, and assigns row
versions again, while calls, changes of the settings and orders go on.
"""

import pytest
import trio

from foxtailsaddle.core import Lease, next_lease, next_number
from foxtailsaddle.errors import LeaseLostError
from standins.world import World, run_world

BACKUP_AGE_S = 3.0
NOTICE_S = 6.0  # within which all instances have read from the platform again
LEASE_TERM_S = 10.5


async def lose_last_seconds(world: World) -> None:
    """Restore the platform to the state before the last writes."""
    world.platform.restore(BACKUP_AGE_S)


async def change_stall(world: World, instance: str, change: str, seconds: float):
    """Change a setting and return the accepted revision."""
    operator = world.operator(instance)
    base = (await operator.settings())["revision"]
    return await operator.apply(change, base, {"base": {"stall_s": seconds}})


def stall_s(world: World, instance: str) -> float:
    """Return the setting as one instance has it in force."""
    return world.app(instance).settings_manager.log.tree.base.stall_s


class TestNumbers:
    def test_are_consecutive_within_an_era(self):
        assert next_number(7, era=1) == 8
        assert next_number(7, era=0) == 8

    def test_of_a_later_era_are_above_all_earlier_ones(self):
        assert next_number(7, era=2) > 7 + 1000
        assert next_number(next_number(7, era=2), era=2) == next_number(7, era=2) + 1
        assert next_number(7, era=3) > next_number(7, era=2)


class TestSettings:
    """A lost revision stays in force, and its number is not assigned again."""

    async def lost_change(self, world: World) -> int:
        await trio.sleep(BACKUP_AGE_S + 1)
        revision = await change_stall(world, "i1", "lost", 2.5)
        await trio.sleep(BACKUP_AGE_S - 1)
        await lose_last_seconds(world)
        await trio.sleep(NOTICE_S)
        return revision["number"]

    def test_a_lost_revision_stays_in_force(self):
        async def scenario(world: World) -> None:
            await self.lost_change(world)
            for instance in world.instances:
                assert stall_s(world, instance) == 2.5

        run_world(scenario)

    def test_numbers_are_not_assigned_twice(self):
        async def scenario(world: World) -> None:
            lost_number = await self.lost_change(world)
            revision = await change_stall(world, "i2", "next", 3.5)
            assert revision["number"] > lost_number
            await trio.sleep(NOTICE_S)
            assert {stall_s(world, name) for name in world.instances} == {3.5}

        run_world(scenario)

    def test_a_later_change_keeps_the_lost_one(self):
        async def scenario(world: World) -> None:
            await self.lost_change(world)
            operator = world.operator("i2")
            base = (await operator.settings())["revision"]
            await operator.apply("next", base, {"base": {"max_attempts": 3}})
            await trio.sleep(NOTICE_S)
            for name in world.instances:
                tree = world.app(name).settings_manager.log.tree
                assert (tree.base.stall_s, tree.base.max_attempts) == (2.5, 3)

        run_world(scenario)

    def test_an_instance_that_starts_later_gets_the_lost_revision(self):
        async def scenario(world: World) -> None:
            await self.lost_change(world)
            world.kill("i3")
            world.start_instance("i3")
            await trio.sleep(NOTICE_S)
            assert stall_s(world, "i3") == 2.5

        run_world(scenario)

    def test_further_changes_are_in_force_everywhere(self):
        async def scenario(world: World) -> None:
            await self.lost_change(world)
            for number in range(3):
                await change_stall(world, "i1", f"c{number}", 4.0 + number)
            world.kill("i2")
            world.start_instance("i2")
            await trio.sleep(NOTICE_S)
            assert {stall_s(world, name) for name in world.instances} == {6.0}

        run_world(scenario)


class TestInstanceList:
    def test_a_lost_entry_of_an_instance_is_written_again(self):
        async def scenario(world: World) -> None:
            await lose_last_seconds(world)
            world.platform.knobs.list_lag_s = 0.0
            assert not world.platform.instances()
            await trio.sleep(NOTICE_S)
            ids = {entry["id"] for entry in world.platform.instances()}
            assert ids == set(world.instances)

        run_world(scenario)


class TestLedger:
    """A call whose ledger row is lost is not run again."""

    def test_a_repeated_call_gets_the_stored_answer(self):
        async def scenario(world: World) -> None:
            await trio.sleep(BACKUP_AGE_S + 1)
            first = await world.caller().call(world.url("i1"), "sign", b"{}", "k", 3.0)
            assert first.code == "ok"
            await lose_last_seconds(world)
            await trio.sleep(2 * NOTICE_S)
            again = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
            assert again.code == "ok"
            assert len(world.plain_by_name["p1"].ran) == 1

        run_world(scenario)

    def test_a_call_that_is_repeated_at_once_is_not_run(self):
        async def scenario(world: World) -> None:
            await trio.sleep(BACKUP_AGE_S + 1)
            await world.caller().call(world.url("i1"), "sign", b"{}", "k", 3.0)
            await lose_last_seconds(world)
            again = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
            assert again.verdict == "not_run"
            assert again.retry_after_s
            assert len(world.plain_by_name["p1"].ran) == 1

        run_world(scenario)

    def test_a_platform_that_begins_to_name_its_era_was_not_restored(self):
        async def scenario(world: World) -> None:
            world.app("i1").env.platform.era = 0
            first = await world.caller().call(world.url("i1"), "sign", b"{}", "k", 3.0)
            await trio.sleep(1)
            again = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
            assert (first.code, again.code) == ("ok", "ok")
            assert len(world.plain_by_name["p1"].ran) == 1

        run_world(scenario)

    def test_a_call_that_runs_meanwhile_keeps_its_answer(self):
        async def scenario(world: World) -> None:
            await trio.sleep(BACKUP_AGE_S + 1)
            world.plain_by_name["p1"].knobs.latency_s = 2.0
            async with trio.open_nursery() as nursery:
                caller = world.caller()
                url = world.url("i1")
                nursery.start_soon(caller.call, url, "sign", b"{}", "k", 9.0)
                await trio.sleep(1)
                await lose_last_seconds(world)
            world.plain_by_name["p1"].knobs.latency_s = 0.0
            await trio.sleep(2 * NOTICE_S)
            again = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
            assert again.code == "ok"
            assert len(world.plain_by_name["p1"].ran) == 1

        run_world(scenario)


class TestLeases:
    """A lease that is lost is not given to two instances."""

    def test_a_renewed_lease_has_a_new_number(self):
        lease = Lease("i1", "a", 3, 100)
        assert next_lease(lease, "i1", "a", 50, 100, 5, era=2).number > 1000

    def test_a_lease_that_the_platform_lost_is_not_taken(self):
        async def scenario(world: World) -> None:
            await trio.sleep(BACKUP_AGE_S + 1)
            endpoint = world.app("i1").router.find_endpoint("e1")
            holder = world.app("i1").order_sender
            other = world.app("i2").order_sender
            held = await holder.acquire_lease("e1", endpoint)
            await lose_last_seconds(world)
            await trio.sleep(1)
            with pytest.raises(LeaseLostError):
                await other.acquire_lease("e1", endpoint)
            await trio.sleep(LEASE_TERM_S)
            taken = await other.acquire_lease("e1", endpoint)
            assert taken.number > held.number + 1000

        run_world(scenario)

    def test_the_holder_gets_a_higher_number(self):
        async def scenario(world: World) -> None:
            await trio.sleep(BACKUP_AGE_S + 1)
            endpoint = world.app("i1").router.find_endpoint("e1")
            holder = world.app("i1").order_sender
            held = await holder.acquire_lease("e1", endpoint)
            await lose_last_seconds(world)
            await trio.sleep(NOTICE_S)
            renewed = await holder.acquire_lease("e1", endpoint)
            assert renewed.number > held.number + 1000

        run_world(scenario)

    def test_a_write_that_crosses_the_restore_gives_no_lease(self):
        async def scenario(world: World) -> None:
            endpoint = world.app("i1").router.find_endpoint("e1")
            world.platform.knobs.update({"late_writes": 1, "late_by_s": 1.0})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restore_later, world)
                with pytest.raises(LeaseLostError, match="restored"):
                    await world.app("i1").order_sender.acquire_lease("e1", endpoint)

        async def restore_later(world: World) -> None:
            await trio.sleep(0.5)
            await lose_last_seconds(world)

        run_world(scenario)
