"""Tests for prompts that exceed the memory of one engine."""

import trio

from foxtailsaddle.core import Candidate, EndpointId, plan_group
from standins.caller import CallRecord
from standins.world import World, run_world

from . import history

CAPACITY_TOKENS = 400_000
HUGE_TOKENS = 1_000_000
SETTINGS_TREE = {"base": {"max_body_bytes": 6_000_000}}


def huge_prompt(number: int) -> str:
    return f"dossier {number} " + "x" * (4 * HUGE_TOKENS)


async def send_huge_prompts(
    world: World, count: int, allowed_s: float
) -> list[CallRecord]:
    """Send huge prompts concurrently and return what the callers saw."""
    seen: list[CallRecord] = []

    async def send_one(number: int) -> None:
        url = world.url(world.instances[number % len(world.instances)])
        caller = world.caller()
        seen.append(await caller.complete(url, huge_prompt(number), 4, allowed_s))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(send_one, number)
    return seen


class TestPlanGroup:
    def candidates(self, count: int) -> list[Candidate]:
        return [Candidate(EndpointId(f"e{n}"), 100, float(n)) for n in range(count)]

    def test_uses_the_fewest_least_loaded_endpoints_in_id_order(self):
        shares = plan_group(140, self.candidates(5))
        assert [share.endpoint for share in shares] == ["e0", "e1"]
        assert sum(share.tokens for share in shares) == 140

    def test_is_empty_when_the_endpoints_are_too_few(self):
        assert plan_group(1000, self.candidates(5)) == []


class TestHugePrompts:
    def test_two_huge_prompts_and_short_prompts_finish(self):
        async def scenario(world: World) -> None:
            short_results: list[CallRecord] = []

            async def send_shorts() -> None:
                for number in range(60):
                    await trio.sleep(1)
                    prompt = f"short {number} " + "x" * 8_000
                    url = world.url(world.instances[number % 3])
                    short_results.append(
                        await world.caller().complete(url, prompt, 4, 20)
                    )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_shorts)
                seen = await send_huge_prompts(world, 2, 300)
            assert [item.code for item in seen] == ["ok", "ok"]
            history.check_answers_match_prompts(seen, 4)
            assert {item.code for item in short_results} == {"ok"}
            assert max(item.first_token_s for item in short_results) < 0.5
            await trio.sleep(1)
            history.check_no_memory_leaked(world)

        run_world(
            scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=SETTINGS_TREE
        )

    def test_prompts_beyond_the_fleets_memory_finish_one_after_another(self):
        async def scenario(world: World) -> None:
            seen = await send_huge_prompts(world, 3, 500)
            assert [item.code for item in seen] == ["ok"] * 3
            await trio.sleep(1)
            history.check_no_memory_leaked(world)

        run_world(
            scenario, engines=4, capacity_tokens=CAPACITY_TOKENS, tree=SETTINGS_TREE
        )

    def test_the_death_of_a_group_member_leads_to_a_retry_in_time(self):
        async def scenario(world: World) -> None:
            seen: list[CallRecord] = []

            async def send() -> None:
                seen.extend(await send_huge_prompts(world, 1, 300))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(20)
                world.kill("e1")
                await trio.sleep(5)
                world.start_engine("e1")
            assert seen[0].code == "ok"
            history.check_answers_match_prompts(seen, 4)
            await trio.sleep(1)
            history.check_no_memory_leaked(world)

        run_world(
            scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=SETTINGS_TREE
        )

    def test_memory_is_freed_when_the_instance_dies(self):
        async def scenario(world: World) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_huge_prompts, world, 1, 60)
                await trio.sleep(20)
                world.kill("i1")
            await trio.sleep(60)
            history.check_no_memory_leaked(world)

        run_world(
            scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=SETTINGS_TREE
        )

    def test_a_prompt_that_cannot_meet_its_deadline_is_refused_early(self):
        async def scenario(world: World) -> None:
            seen = await send_huge_prompts(world, 1, 20)
            assert seen[0].code == "overloaded"
            assert seen[0].verdict == "not_run"
            assert seen[0].total_s < 2

        run_world(
            scenario, engines=6, capacity_tokens=CAPACITY_TOKENS, tree=SETTINGS_TREE
        )
