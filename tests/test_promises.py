"""The promises, each proved under failure, and seen to fail without its mechanism.

A proof is a scenario that must pass. Beside it stands the same scenario with
the mechanism taken out, by a switch in the test, which must fail.
"""

import contextlib
import math
import typing as t
from unittest import mock

import pytest
import trio

from foxtailsaddle.adapters import RemoteError
from foxtailsaddle.app import _attempts, _gateway, _guards, _ledger_keeper, _watcher
from foxtailsaddle.core import Liveness, RevisionLog
from foxtailsaddle.ports import StartReply
from standins.caller import Caller, Seen
from standins.world import PLATFORM, World, run_world

from . import history

Patch = contextlib.AbstractContextManager[t.Any]


def fails_without(scenario, patch: Patch, **options: t.Any) -> None:
    """Run a scenario with its mechanism taken out; it must break a promise."""
    with patch, pytest.raises((AssertionError, ExceptionGroup)) as caught:
        run_world(scenario, **options)
    error: BaseException = caught.value
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, AssertionError), error


async def complete_all(
    world: World, prompts: list[str], tokens: int, allowed_s: float, gap_s: float = 0.0
) -> list[Seen]:
    """Send prompts to all instances in turn and return their history."""
    seen: list[Seen] = []
    names = world.instances

    async def one(caller: Caller, number: int, prompt: str) -> None:
        await trio.sleep(number * gap_s)
        url = world.url(names[number % len(names)])
        seen.append(await caller.complete(url, prompt, tokens, allowed_s))

    async with trio.open_nursery() as nursery:
        for number, prompt in enumerate(prompts):
            nursery.start_soon(one, world.caller(), number, prompt)
    return seen


def prompts_of(count: int, tokens: int = 100) -> list[str]:
    return [f"prompt {number} " + "x" * (4 * tokens) for number in range(count)]


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

        real = adapter._json

        def any_id(data: t.Any, url: str) -> t.Any:
            found = real(data, url)
            return {**found, "id": AnyName()} if "offset" in found else found

        fails_without(self.crossed, mock.patch.object(adapter, "_json", any_id))

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


class TestAtMostOnce:
    """A call that may not be repeated runs at most once."""

    async def resent(self, world: World) -> None:
        """Every call goes to two instances at once; answers get lost."""
        seen: list[Seen] = []

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

    async def late_write(self, world: World) -> None:
        """A claim whose write is late does not block the key for good."""
        knobs = world.platform.knobs
        knobs.turn({"late_writes": 1, "late_by_s": 8.0})
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

    def test_holds_under_resends_and_lost_answers(self):
        run_world(self.resent, plains=2)

    def test_fails_without_the_ledger(self):
        async def claim(keeper, entry):
            return _ledger_keeper.Claim(entry, 0)

        patch = mock.patch.object(_ledger_keeper.LedgerKeeper, "claim", claim)
        fails_without(self.resent, patch, plains=2)

    def test_a_late_write_does_not_block_its_key(self):
        run_world(self.late_write)

    def test_fails_without_the_fence(self):
        keeper = _ledger_keeper.LedgerKeeper
        patch = mock.patch.object(keeper, "_settle_later", lambda *_, **__: None)
        fails_without(self.late_write, patch)

    async def lost_outcome(self, world: World) -> None:
        """The instance dies after the call ran and before its outcome is kept."""
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
        late = await world.caller().call(world.url("i2"), "sign", b"{}", "k", 3.0)
        assert len(world.plain_by_name["p1"].ran) == 1
        self.late = late

    def test_a_lost_outcome_is_asked_of_the_service(self):
        path = {"outcome_path": "attempts/{attempt}", "kind": "plain"}
        endpoints = {"p1": {"url": "http://10.0.3.1:80"}}
        service = {**path, "repeatable": False, "endpoints": endpoints}
        run_world(self.lost_outcome, tree={"services": {"register": service}})
        assert self.late.code == "ok"

    def test_a_lost_outcome_is_said_to_be_unknown_where_nobody_can_tell(self):
        run_world(self.lost_outcome)
        assert (self.late.code, self.late.verdict) == (
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
            world.network.host_by_address[PLATFORM].listening = False
            caller = world.caller()
            seen = await caller.call(world.url("i1"), "sign", b"{}", "k", 30.0)
            assert (seen.code, seen.verdict) == ("platform_unavailable", "not_run")
            assert seen.total_s < 1
            prompt = await caller.complete(world.url("i1"), "hello", 4, 10.0)
            assert prompt.code == "ok"

        run_world(scenario)

    def test_the_ledger_tells_who_touched_a_record(self):
        async def scenario(world: World) -> None:
            await world.caller().call(world.url("i1"), "sign", b"{}", "k", 3.0)
            entry = await world.operator("i2").ledger("inspector", "register", "k")
            assert entry["state"] == "done"
            assert entry["token"].startswith("i1~")

        run_world(scenario)


class TestWithdrawnEndpoints:
    """A leaving endpoint gets no new work 5 s after it starts to leave."""

    BOUND_S = 5.0

    async def scenario(self, world: World) -> None:
        world.platform.knobs.turn({"list_lag_s": 30.0, "down": True})
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
        seen: list[Seen] = []

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


class TestSettings:
    """An accepted change is in force everywhere within 12 s and stays."""

    BOUND_S = 12.0

    async def cut_off(self, world: World) -> None:
        """An instance that can't hear of a change stops admitting in time."""
        world.cut_off_instance("i3")
        operator = world.operator("i1")
        base = (await operator.settings())["revision"]
        gone = {"accounts": {"inspector": {"key_sha256": []}}}
        await operator.apply("lock-out", base, gone)
        await trio.sleep(self.BOUND_S)
        for name in world.instances:
            seen = await world.caller().complete(world.url(name), "hello", 4, 5.0)
            assert seen.code in ("unauthorized", "not_ready"), (name, seen)

    def test_a_cut_off_instance_stops_in_time(self):
        run_world(self.cut_off)

    def test_fails_without_confirmation(self):
        always = mock.patch.object(RevisionLog, "is_confirmed", lambda *_: True)
        fails_without(self.cut_off, always)

    def test_a_change_is_in_force_on_seven_instances_in_time(self):
        async def scenario(world: World) -> None:
            operator = world.operator("i1")
            base = (await operator.settings())["revision"]
            accepted = await operator.apply("c", base, {"base": {"stall_s": 7}})
            await trio.sleep(self.BOUND_S)
            for name in world.instances:
                log = world.app(name).keeper.log
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
            await trio.sleep(self.BOUND_S)
            numbers = {world.app(n).keeper.log.number for n in world.instances}
            assert numbers == {base}

        run_world(scenario, instances=7)

    def test_all_instances_at_once_are_replaced_within_seconds(self):
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

    def test_a_long_outage_of_the_platform_stops_nobody(self):
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

    def test_nothing_reverts_for_an_instance_that_boots_from_a_stale_read(self):
        async def scenario(world: World) -> None:
            operator = world.operator("i1")
            stale = dict(world.platform.tables["settings"])
            for number in range(3):
                base = (await operator.settings())["revision"]
                await operator.apply(
                    f"c{number}", base, {"base": {"stall_s": 5 + number}}
                )
            fresh = dict(world.platform.tables["settings"])
            world.kill("i3")
            world.platform.tables["settings"] = stale
            world.start_instance("i3")
            await trio.sleep(4)
            assert world.app("i3").keeper.log.number == len(fresh)
            assert world.app("i1").keeper.log.number == len(fresh)

        run_world(scenario)


class TestRacingOperators:
    """Racing changes: no lost update, one order, each answer true."""

    COUNT = 50

    async def scenario(self, world: World) -> None:
        answers: dict[str, int | None] = {}

        async def change(instance: str, author: str) -> None:
            operator = world.operator(instance)
            for number in range(self.COUNT):
                if number % 7 == 0:
                    world.platform.knobs.lost_answers += 1
                await self.one_change(operator, f"{author}-{number}", answers)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, "i1", "ann")
            nursery.start_soon(change, "i2", "bob")
        await trio.sleep(TestSettings.BOUND_S)
        await self.check(world, answers)

    async def one_change(
        self, operator: t.Any, change_id: str, answers: dict[str, int | None]
    ) -> None:
        """Make one change, as often as it loses a race; keep the answer."""
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
        assert len(answers) == 2 * self.COUNT
        for change_id, number in answers.items():
            assert number_by_change.get(change_id) == number
        for name in world.instances:
            log = world.app(name).keeper.log
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


class TestPlannedStop:
    """A stopping instance finishes what it has begun and starts nothing new."""

    async def scenario(self, world: World) -> None:
        async with trio.open_nursery() as nursery:

            async def roll() -> None:
                for name in ("i1", "i2", "i3"):
                    await trio.sleep(1)
                    world.app(name).drain()
                    while name in world.instances:
                        await trio.sleep(0.1)
                    world.start_instance(name)
                    await trio.sleep(2)

            nursery.start_soon(roll)
            seen = await complete_all(world, prompts_of(40, 5_000), 50, 30.0, 0.3)
        begun = [item for item in seen if "refused" not in item.code]
        assert len(begun) > 20
        assert {item.code for item in begun} <= {"ok", "not_ready"}

    def test_rolling_over_all_instances_cuts_nothing(self):
        run_world(self.scenario)


class TestFaultyOthers:
    """Nonsense from others, and faults of ours, end no instance."""

    def test_a_revision_of_a_later_version_keeps_an_instance_from_admitting(self):
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

    def test_an_endpoint_that_reports_nonsense_gets_no_work(self):
        async def scenario(world: World) -> None:
            world.engine_by_name["e1"].load = lambda: {"colour": "red"}
            await trio.sleep(8)
            before = len(world.engine_by_name["e1"].arrivals)
            seen = await complete_all(world, prompts_of(10), 4, 5.0, gap_s=0.1)
            assert [item.code for item in seen] == ["ok"] * 10
            assert len(world.engine_by_name["e1"].arrivals) == before

        run_world(scenario)

    def test_a_control_task_that_fails_runs_again(self):
        async def scenario(world: World) -> None:
            real = _watcher.EndpointWatcher.poll
            with mock.patch.object(_watcher.EndpointWatcher, "poll", None):
                await trio.sleep(2)
            assert _watcher.EndpointWatcher.poll is real
            await trio.sleep(3)
            seen = await world.caller().complete(world.url("i1"), "hello", 4, 5.0)
            assert seen.code == "ok"

        run_world(scenario)


class TestSilentPlatform:
    """A platform that takes connections and answers nothing holds nobody up."""

    def test_calls_are_refused_and_prompts_go_on(self):
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
