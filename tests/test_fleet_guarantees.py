"""Tests for the guarantees of the whole fleet under failures.

Most scenarios run twice: they must pass, and they must fail while a patch
disables the mechanism behind the guarantee.
"""

import typing as t
from unittest import mock

import pytest
import trio

from foxtailsaddle.adapters import RemoteError
from foxtailsaddle.app import Application, _endpoint_poller
from foxtailsaddle.core import RevisionLog
from standins import platform
from standins.world import World, run_world

from . import history
from .scenarios import complete_all, fails_without, prompts_of


class TestSettings:
    """An accepted change is in force on all instances within 12 s and remains so."""

    MAX_PROPAGATION_S = 12.0

    async def isolated_instance(self, world: World) -> None:
        """An instance that cannot receive a change stops admitting within 12 s."""
        world.cut_off_instance("i3")
        operator = world.operator("i1")
        base = (await operator.settings())["revision"]
        revoked_key = {"accounts": {"inspector": {"key_sha256": []}}}
        await operator.apply("lock-out", base, revoked_key)
        await trio.sleep(self.MAX_PROPAGATION_S)
        for name in world.instances:
            seen = await world.caller().complete(world.url(name), "hello", 4, 5.0)
            assert seen.code in ("unauthorized", "not_ready"), (name, seen)

    def test_an_isolated_instance_stops_admission_in_time(self):
        run_world(self.isolated_instance)

    def test_fails_without_confirmation_of_revisions(self):
        always_confirmed = mock.patch.object(
            RevisionLog, "is_confirmed", lambda *_: True
        )
        fails_without(self.isolated_instance, always_confirmed)

    def test_a_change_is_in_force_on_seven_instances_in_time(self):
        async def scenario(world: World) -> None:
            operator = world.operator("i1")
            base = (await operator.settings())["revision"]
            accepted = await operator.apply("c", base, {"base": {"stall_s": 7}})
            await trio.sleep(self.MAX_PROPAGATION_S)
            for name in world.instances:
                log = world.app(name).settings_manager.log
                assert log.number == accepted["number"]

        run_world(scenario, instances=7)

    def test_no_change_is_accepted_while_the_platform_is_down(self):
        async def scenario(world: World) -> None:
            world.platform.knobs.down = True
            operator = world.operator("i1")
            base = (await operator.settings())["revision"]
            with pytest.raises(RemoteError) as caught:
                await operator.apply("c", base, {"base": {"stall_s": 7}})
            assert caught.value.remote_code == "platform_unavailable"
            world.platform.knobs.down = False
            await trio.sleep(self.MAX_PROPAGATION_S)
            numbers = {
                world.app(n).settings_manager.log.number for n in world.instances
            }
            assert numbers == {base}

        run_world(scenario, instances=7)

    def test_all_instances_can_be_replaced_at_once_within_seconds(self):
        async def scenario(world: World) -> None:
            await world.caller().call(world.url("i1"), "sign", b"{}", "k", 3.0)
            for name in list(world.instances):
                world.kill(name)
            await trio.sleep(1)
            for name in ("i1", "i2", "i3"):
                world.start_instance(name)
            await trio.sleep(3)
            for name in world.instances:
                seen = await world.caller().complete(world.url(name), "hello", 4, 5.0)
                assert seen.code == "ok"
            again = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
            assert again.code == "ok"
            history.check_at_most_once(world)

        run_world(scenario)

    def test_a_long_outage_of_the_platform_stops_no_instance(self):
        async def scenario(world: World) -> None:
            world.platform.knobs.down = True
            await trio.sleep(120)
            for name in world.instances:
                seen = await world.caller().complete(world.url(name), "hello", 4, 5.0)
                assert seen.code == "ok"

        run_world(scenario)

    def test_a_new_instance_starts_from_its_peers_in_an_outage(self):
        async def scenario(world: World) -> None:
            world.platform.knobs.down = True
            world.kill("i2")
            await trio.sleep(20)
            world.start_instance("i2")
            await trio.sleep(5)
            seen = await world.caller().complete(world.url("i2"), "hello", 4, 5.0)
            assert seen.code == "ok"

        run_world(scenario)

    def test_an_instance_that_starts_from_a_stale_read_reverts_nothing(self):
        async def scenario(world: World) -> None:
            operator = world.operator("i1")
            stale_rows = dict(world.platform.tables["settings"])
            for number in range(3):
                base = (await operator.settings())["revision"]
                await operator.apply(
                    f"c{number}", base, {"base": {"stall_s": 5 + number}}
                )
            current_rows = dict(world.platform.tables["settings"])
            world.kill("i3")
            world.platform.tables["settings"] = stale_rows
            world.start_instance("i3")
            await trio.sleep(4)
            assert world.app("i3").settings_manager.log.number == len(current_rows)
            assert world.app("i1").settings_manager.log.number == len(current_rows)

        run_world(scenario)


class TestConcurrentOperators:
    """Concurrent changes lose no update, have one order and get correct answers."""

    CHANGES_PER_OPERATOR = 50

    async def scenario(self, world: World) -> None:
        answers: dict[str, int | None] = {}

        async def change(instance: str, author: str) -> None:
            operator = world.operator(instance)
            for number in range(self.CHANGES_PER_OPERATOR):
                if number % 7 == 0:
                    world.platform.knobs.lost_answers += 1
                await self.apply_change(operator, f"{author}-{number}", answers)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, "i1", "ann")
            nursery.start_soon(change, "i2", "bob")
        await trio.sleep(TestSettings.MAX_PROPAGATION_S)
        await self.check(world, answers)

    async def apply_change(
        self, operator: t.Any, change_id: str, answers: dict[str, int | None]
    ) -> None:
        """Apply one change, retry it after each conflict, and record the answer."""
        patch = {"accounts": {change_id: {"key_sha256": [change_id]}}}
        while True:
            base = (await operator.settings())["revision"]
            try:
                answers[change_id] = (await operator.apply(change_id, base, patch))[
                    "number"
                ]
                return
            except RemoteError as error:
                if error.remote_code != "settings_conflict":
                    answers[change_id] = None
            await trio.sleep(0.05)

    async def check(self, world: World, answers: dict[str, int | None]) -> None:
        revisions = await world.operator("i3").history()
        number_by_change = {item["change"]: item["number"] for item in revisions}
        assert [item["number"] for item in revisions] == list(
            range(1, len(revisions) + 1)
        )
        assert len(answers) == 2 * self.CHANGES_PER_OPERATOR
        for change_id, number in answers.items():
            assert number_by_change.get(change_id) == number
        for name in world.instances:
            log = world.app(name).settings_manager.log
            assert log.number == len(revisions)
            assert set(answers) <= set(log.document["accounts"])

    def test_holds(self):
        run_world(self.scenario)

    def test_fails_when_a_put_ignores_its_condition(self):
        from standins.platform import PlatformModel

        def put(model, table, key, value, expected):
            version, _ = model.tables[table].get(key, (0, None))
            model.tables[table][key] = (version + 1, value)
            return version + 1

        patch = mock.patch.object(PlatformModel, "put", put)
        fails_without(self.scenario, patch)


class TestPagedLog:
    """All revisions are read although the platform returns its rows in pages."""

    def test_a_change_on_a_late_page_is_found(self):
        async def scenario(world: World) -> None:
            operator = world.operator("i1")
            for number in range(12):
                base = (await operator.settings())["revision"]
                patch = {"base": {"stall_s": 1 + number}}
                await operator.apply(f"c{number}", base, patch)
            found = await world.operator("i2").change("c11")
            assert found["number"] == 13
            assert len(await operator.history()) == 13
            again = await operator.apply("c11", 3, {"base": {"stall_s": 12}})
            assert again["number"] == 13

        with mock.patch.object(platform, "PAGE_ROWS", 5):
            run_world(scenario)


class TestGracefulShutdown:
    """A stopping instance finishes its running requests and admits no new ones."""

    async def scenario(self, world: World) -> None:
        self.world = world
        async with trio.open_nursery() as nursery:

            async def restart_all() -> None:
                for name in ("i1", "i2", "i3"):
                    await trio.sleep(1)
                    world.app(name).drain()
                    while name in world.instances:
                        await trio.sleep(0.1)
                    world.start_instance(name)
                    await trio.sleep(2)

            nursery.start_soon(restart_all)
            seen = await complete_all(world, prompts_of(40, 5_000), 50, 30.0, 0.3)
        started = [item for item in seen if "refused" not in item.code]
        assert len(started) > 20
        assert {item.code for item in started} <= {"ok", "not_ready"}

    def test_a_rolling_restart_interrupts_nothing(self):
        run_world(self.scenario)

    def test_fails_without_a_graceful_shutdown(self):
        def end_at_once(app: Application) -> None:
            self.world.kill(app.members.own.id)

        patch = mock.patch.object(Application, "drain", end_at_once)
        fails_without(self.scenario, patch)


class TestMalformedInput:
    """Malformed data from other processes or a failed task stops no instance."""

    def test_a_revision_of_a_later_version_stops_admission(self):
        async def scenario(world: World) -> None:
            rows = world.platform.tables["settings"]
            row = {
                "number": 2,
                "change": "c",
                "author": "a",
                "patch": {"base": {"colour": "red"}},
                "at_ms": 0,
            }
            rows["000000000002"] = (1, row)
            await trio.sleep(15)
            assert len(world.instances) == 3
            seen = await world.caller().complete(world.url("i1"), "hello", 4, 5.0)
            assert seen.code == "not_ready"

        run_world(scenario)

    def test_an_endpoint_with_a_malformed_report_gets_no_work(self):
        async def scenario(world: World) -> None:
            world.engine_by_name["e1"].load = lambda: {"colour": "red"}
            await trio.sleep(8)
            before = len(world.engine_by_name["e1"].arrivals)
            seen = await complete_all(world, prompts_of(10), 4, 5.0, gap_s=0.1)
            assert [item.code for item in seen] == ["ok"] * 10
            assert len(world.engine_by_name["e1"].arrivals) == before

        run_world(scenario)

    def test_a_failed_control_task_is_restarted(self):
        async def scenario(world: World) -> None:
            real = _endpoint_poller.EndpointPoller.poll
            with mock.patch.object(_endpoint_poller.EndpointPoller, "poll", None):
                await trio.sleep(2)
            assert _endpoint_poller.EndpointPoller.poll is real
            await trio.sleep(3)
            seen = await world.caller().complete(world.url("i1"), "hello", 4, 5.0)
            assert seen.code == "ok"

        run_world(scenario)


class TestSilentPlatform:
    """A platform that accepts connections but never answers blocks no request."""

    def test_calls_are_refused_and_prompts_still_succeed(self):
        async def scenario(world: World) -> None:
            world.platform.knobs.frozen = True
            await trio.sleep(30)
            url = world.url("i1")
            prompt = await world.caller().complete(url, "hello", 4, 5.0)
            assert prompt.code == "ok"
            call = await world.caller().call(url, "sign", b"{}", "k", 10.0)
            assert call.verdict == "not_run"
            assert call.total_s <= 10.5
            world.platform.knobs.frozen = False
            await trio.sleep(20)
            again = await world.caller().call(url, "sign", b"{}", "k", 5.0)
            assert again.code == "ok"
            history.check_at_most_once(world)

        run_world(scenario)
