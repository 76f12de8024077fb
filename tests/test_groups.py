"""Prompts that are larger than one engine."""

import trio

from foxtailsaddle.core import Candidate, EndpointId, plan_group
from standins.caller import CallRecord
from standins.world import World, run_world

from . import history

CAPACITY_TOKENS = 400_000
HUGE_TOKENS = 1_000_000
TREE = {"base": {"max_body_bytes": 6_000_000}}


def huge_prompt(number: int) -> str:
    return f"dossier {number} " + "x" * (4 * HUGE_TOKENS)


async def send_huge(world: World, count: int, allowed_s: float) -> list[CallRecord]:
    """Send huge prompts at the same time and return what callers saw."""
    seen: list[CallRecord] = []

    async def one(number: int) -> None:
        url = world.url(world.instances[number % len(world.instances)])
        caller = world.caller()
        seen.append(await caller.complete(url, huge_prompt(number), 4, allowed_s))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(one, number)
    return seen


class TestPlanGroup:
    def candidates(self, count: int) -> list[Candidate]:
        return [Candidate(EndpointId(f"e{n}"), 100, float(n)) for n in range(count)]

    def test_takes_the_fewest_and_least_loaded_in_order_of_ids(self):
        shares = plan_group(140, self.candidates(5))
        assert [share.endpoint for share in shares] == ["e0", "e1"]
        assert sum(share.tokens for share in shares) == 140

    def test_is_empty_when_the_endpoints_are_too_few(self):
        assert plan_group(1000, self.candidates(5)) == []


class TestHugePrompts:
    def test_two_at_once_and_short_ones_beside_them_all_finish(self):
        async def scenario(world: World) -> None:
            shorts: list[CallRecord] = []

            async def send_shorts() -> None:
                for number in range(60):
                    await trio.sleep(1)
                    prompt = f"short {number} " + "x" * 8_000
                    url = world.url(world.instances[number % 3])
                    shorts.append(await world.caller().complete(url, prompt, 4, 20))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_shorts)
                seen = await send_huge(world, 2, 300)
            assert [item.code for item in seen] == ["ok", "ok"]
            history.check_whole_and_own(seen, 4)
            assert {item.code for item in shorts} == {"ok"}
            assert max(item.first_token_s for item in shorts) < 0.5
            await trio.sleep(1)
            history.check_no_memory_lost(world)

        run_world(scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=TREE)

    def test_more_than_the_fleet_holds_at_once_finish_in_turn(self):
        async def scenario(world: World) -> None:
            seen = await send_huge(world, 3, 500)
            assert [item.code for item in seen] == ["ok"] * 3
            await trio.sleep(1)
            history.check_no_memory_lost(world)

        run_world(scenario, engines=4, capacity_tokens=CAPACITY_TOKENS, tree=TREE)

    def test_a_members_death_ends_in_a_retry_in_time(self):
        async def scenario(world: World) -> None:
            seen: list[CallRecord] = []

            async def send() -> None:
                seen.extend(await send_huge(world, 1, 300))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(20)
                world.kill("e1")
                await trio.sleep(5)
                world.start_engine("e1")
            assert seen[0].code == "ok"
            history.check_whole_and_own(seen, 4)
            await trio.sleep(1)
            history.check_no_memory_lost(world)

        run_world(scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=TREE)

    def test_memory_comes_back_when_the_instance_dies(self):
        async def scenario(world: World) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_huge, world, 1, 60)
                await trio.sleep(20)
                world.kill("i1")
            await trio.sleep(60)
            history.check_no_memory_lost(world)

        run_world(scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=TREE)

    def test_a_prompt_that_can_not_be_done_in_time_is_refused_early(self):
        async def scenario(world: World) -> None:
            seen = await send_huge(world, 1, 20)
            assert seen[0].code == "overloaded"
            assert seen[0].verdict == "not_run"
            assert seen[0].total_s < 2

        run_world(scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=TREE)
