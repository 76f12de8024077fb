"""Promises to callers and endpoints, each proved under failure.

A proof is a scenario that must pass. Beside it stands the same scenario with
the mechanism taken out, by a switch in the test, which must fail.
"""

import math
import typing as t
from unittest import mock

import pytest
import trio

from foxtailsaddle.app import _attempts, _gateway, _guards, _watcher
from foxtailsaddle.core import Liveness
from foxtailsaddle.ports import StartReply
from standins.caller import CallRecord
from standins.world import World, run_world

from . import history
from .proof import complete_all, fails_without, prompts_of


class TestDeadline:
    """A prompt that was mispredicted ends when its allowed time does."""

    tree: t.ClassVar = {"base": {"allowed_time_s": 3}}

    async def scenario(self, world: World) -> None:
        for engine in world.engine_names:
            book = world.app("i1").router.book(engine)
            book.rate = 1e9
        prompt = "x" * 4 * 200_000
        seen = await world.caller().complete(world.url("i1"), prompt, 4, 3.0)
        history.check_in_time([seen])
        assert seen.code == "deadline_exceeded"
        assert seen.verdict == "may_have_run"
        assert seen.retry_after_s

    def test_holds(self):
        run_world(self.scenario, instances=1)

    def test_fails_without_the_deadline(self):
        never = mock.patch.object(
            _gateway.trio, "fail_at", lambda _: trio.fail_at(math.inf)
        )
        fails_without(self.scenario, never, instances=1)

    def test_an_answer_is_given_at_once_when_no_endpoint_is_left(self):
        async def scenario(world: World) -> None:
            for name in world.engine_names:
                world.kill(name)
            caller = world.caller()
            seen = await caller.complete(world.url("i1"), "hello", 4, 60.0)
            assert seen.code in ("overloaded", "endpoint_failed")
            assert seen.total_s < 10
            assert seen.retry_after_s

        run_world(scenario)


class TestEngineMemory:
    """What a dead instance left on an engine is freed by another."""

    async def scenario(self, world: World) -> None:
        async with trio.open_nursery() as nursery:
            for prompt in prompts_of(6, 30_000):
                caller = world.caller()
                nursery.start_soon(caller.complete, world.url("i1"), prompt, 4, 5.0)
            await trio.sleep(1)
            held = sum(model.held_tokens for model in world.engine_by_name.values())
            assert held > 0
            world.kill("i1")
        await trio.sleep(10)
        history.check_no_memory_lost(world)

    def test_holds(self):
        run_world(self.scenario)

    def test_fails_without_reaping(self):
        none = mock.patch.object(_watcher, "orphans", lambda *_: [])
        fails_without(self.scenario, none)

    def test_a_caller_that_goes_away_frees_memory_at_once(self):
        async def scenario(world: World) -> None:
            with trio.move_on_after(1):
                prompt = "x" * 4 * 100_000
                await world.caller().complete(world.url("i1"), prompt, 4, 60.0)
            await trio.sleep(1)
            history.check_no_memory_lost(world)

        run_world(scenario)


class AnyName(str):
    """Equals every name."""

    __slots__ = ()
    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        return True

    def __ne__(self, other: object) -> bool:
        return False


class TestWholeAndOwnAnswers:
    """Crossed tokens are dropped; a stream outlives its endpoint."""

    async def crossed(self, world: World) -> None:
        for model in world.engine_by_name.values():
            model.knobs.crossed = True
        seen = await complete_all(world, prompts_of(6), 20, 1.0)
        history.check_whole_and_own(seen, 20)
        assert [item.code for item in seen] == ["ok"] * 6

    async def deaths(self, world: World) -> None:
        for name in ("e1", "e2"):
            async with trio.open_nursery() as nursery:

                async def kill(name: str) -> None:
                    await trio.sleep(0.3)
                    world.kill(name)

                nursery.start_soon(kill, name)
                seen = await complete_all(world, prompts_of(12), 100, 30.0)
            history.check_in_time(seen)
            history.check_whole_and_own(seen, 100)
            assert [item.code for item in seen] == ["ok"] * 12

    async def two_deaths_at_once(self, world: World) -> None:
        """A request that met two deaths may be refused, and honestly so."""

        async def kill_two() -> None:
            for name in ("e1", "e2"):
                await trio.sleep(0.3)
                world.kill(name)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_two)
            seen = await complete_all(world, prompts_of(12), 100, 30.0)
        history.check_in_time(seen)
        history.check_whole_and_own(seen, 100)
        assert {item.code for item in seen} <= {"ok", "quarantined"}
        history.check_not_run_is_true(world, seen)

    def test_crossed_tokens_never_reach_a_caller(self):
        run_world(self.crossed)

    def test_fails_without_the_check_of_attempt_ids(self):
        from foxtailsaddle.adapters import _endpoints_http as adapter

        real = adapter._parse_json

        def any_id(data: t.Any, url: str) -> t.Any:
            found = real(data, url)
            return {**found, "id": AnyName()} if "offset" in found else found

        fails_without(self.crossed, mock.patch.object(adapter, "_parse_json", any_id))

    def test_streams_go_on_elsewhere_when_endpoints_die(self):
        run_world(self.deaths)

    def test_two_deaths_at_once_end_in_honest_answers(self):
        run_world(self.two_deaths_at_once)

    def test_fails_without_resuming_by_offset(self):
        async def take_anything(runner, event, endpoint, trip, answer) -> None:
            if event.finish_reason is not None:
                answer.finished = True
                await answer.sink.finish(event.finish_reason)
                return
            await answer.sink.token(event.text)

        patch = mock.patch.object(_attempts.AttemptRunner, "_take", take_anything)
        fails_without(self.deaths, patch)


class TestNotRunIsTrue:
    """An attempt that reached an endpoint is never called "not run"."""

    async def scenario(self, world: World) -> None:
        async with trio.open_nursery() as nursery:

            async def kill_all() -> None:
                await trio.sleep(0.5)
                for name in world.engine_names:
                    world.kill(name)

            nursery.start_soon(kill_all)
            seen = await complete_all(world, prompts_of(6, 40_000), 4, 10.0)
        assert not any(item.code == "ok" for item in seen)
        history.check_not_run_is_true(world, seen)

    def test_holds(self):
        run_world(self.scenario)

    async def unanswered(self, world: World) -> None:
        """The prompt was written; the engine says nothing before the deadline."""
        for model in world.engine_by_name.values():
            model.knobs.latency_s = 4.0
        seen = await complete_all(world, prompts_of(3), 4, 2.0)
        assert {item.code for item in seen} == {"deadline_exceeded"}
        await trio.sleep(5)
        assert history.attempts_ran(world)
        history.check_not_run_is_true(world, seen)

    def test_holds_when_the_deadline_comes_before_any_answer(self):
        run_world(self.unanswered)

    def test_fails_without_raising_the_verdict(self):
        from foxtailsaddle.app._trip import Trip

        never = mock.patch.object(Trip, "raise_verdict", lambda *_: None)
        fails_without(self.scenario, never)


class TestWithdrawnEndpoints:
    """A leaving endpoint gets no new work 5 s after it starts to leave."""

    BOUND_S = 5.0

    async def scenario(self, world: World) -> None:
        world.platform.knobs.update({"list_lag_s": 30.0, "down": True})
        engine = world.engine_by_name["e1"]
        engine.leaving = True
        left_at = trio.current_time()
        await complete_all(world, prompts_of(60), 4, 20.0, gap_s=0.2)
        late = [at for at in engine.arrivals if at > left_at + self.BOUND_S]
        assert late == []

    async def withdrawn(self, world: World) -> None:
        operator = world.operator("i1")
        patch = {"services": {"drafts": {"endpoints": {"e1": {"withdrawn": True}}}}}
        base = (await operator.settings())["revision"]
        await operator.apply("withdraw-e1", base, patch)
        accepted_at = trio.current_time()
        engine = world.engine_by_name["e1"]
        await complete_all(world, prompts_of(60), 4, 20.0, gap_s=0.2)
        late = [at for at in engine.arrivals if at > accepted_at + self.BOUND_S]
        assert late == []

    def test_holds_with_the_list_late_and_the_platform_down(self):
        run_world(self.scenario)

    def test_fails_without_the_endpoints_own_word(self):
        real = Liveness.heard

        def deaf(liveness, endpoint, incarnation, leaving, at):
            real(liveness, endpoint, incarnation, False, at)

        fails_without(self.scenario, mock.patch.object(Liveness, "heard", deaf))

    def test_what_it_has_begun_is_not_cut(self):
        async def scenario(world: World) -> None:
            async def leave() -> None:
                await trio.sleep(0.5)
                for name in ("e1", "e2"):
                    world.engine_by_name[name].leaving = True

            async with trio.open_nursery() as nursery:
                nursery.start_soon(leave)
                seen = await complete_all(world, prompts_of(12), 100, 20.0)
            assert [item.code for item in seen] == ["ok"] * 12
            assert len(history.attempts_ran(world)) == 12

        run_world(scenario)

    def test_holds_when_an_operator_withdraws_it(self):
        run_world(self.withdrawn)


class TestCrashingRequests:
    """At most two endpoints fall to one request; its neighbours finish."""

    async def scenario(self, world: World) -> None:
        for model in world.engine_by_name.values():
            model.knobs.crash_marker = "poison"
        deaths = 0
        crashing = "poison " + "x" * 4_000
        seen: list[CallRecord] = []

        async def resend(instance: str) -> None:
            for _ in range(5):
                caller = world.caller()
                item = await caller.complete(world.url(instance), crashing, 4, 20.0)
                if item.code == "quarantined":
                    return
                await trio.sleep(item.retry_after_s or 1)

        async def neighbours() -> None:
            seen.extend(await complete_all(world, prompts_of(20, 500), 20, 30.0, 0.1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(neighbours)
            for name in ("i1", "i2", "i3"):
                nursery.start_soon(resend, name)
        for name in world.engine_names:
            deaths += not world.network.host_by_address[world.address(name)].listening
        assert deaths <= 2, deaths
        assert [item.code for item in seen] == ["ok"] * 20
        history.check_whole_and_own(seen, 20)

    def test_holds(self):
        run_world(self.scenario, engines=6)

    def test_a_quarantine_ends_although_peers_tell_each_other(self):
        async def scenario(world: World) -> None:
            for model in world.engine_by_name.values():
                model.knobs.crash_marker = "poison"
            url = world.url("i1")
            first = await world.caller().complete(url, "poison", 4, 10)
            assert first.code == "quarantined"
            for name in world.engine_names:
                world.engine_by_name[name].knobs.crash_marker = ""
            await trio.sleep(500)
            held = await world.caller().complete(world.url("i2"), "poison", 4, 10)
            assert held.code == "quarantined"
            await trio.sleep(110)
            for name in world.instances:
                seen = await world.caller().complete(world.url(name), "poison", 4, 10)
                assert seen.code == "ok"

        run_world(scenario, engines=5)

    def test_fails_without_the_crash_watch(self):
        async def start(watch, *_):
            return StartReply(0.0, 0)

        patch = mock.patch.object(_guards.CrashWatch, "start", start)
        fails_without(self.scenario, patch, engines=6)


class TestSilentConnections:
    """Streams that went silent are resumed over new connections."""

    BOUND_S = 6.0

    async def scenario(self, world: World) -> None:
        async def silence() -> None:
            for _ in range(2):
                await trio.sleep(0.3)
                for model in world.engine_by_name.values():
                    model.knobs.silent += 1

        async with trio.open_nursery() as nursery:
            nursery.start_soon(silence)
            seen = await complete_all(world, prompts_of(8), 100, 20.0)
        history.check_whole_and_own(seen, 100)
        assert [item.code for item in seen] == ["ok"] * 8
        assert max(item.total_s for item in seen) < 1 + 2 * self.BOUND_S
        history.check_no_memory_lost(world)

    def test_holds(self):
        run_world(self.scenario)

    def test_fails_without_a_bound_on_silence(self):
        tree = {"base": {"stall_s": 1e6}}
        with pytest.raises((AssertionError, ExceptionGroup)):
            run_world(self.scenario, tree=tree)
