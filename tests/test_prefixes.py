"""Tests for routing to engines that have the prefix of a prompt in their cache."""

import trio

from foxtailsaddle.core import CacheEvent, PrefixIndex, probes_of
from standins import cost
from standins.fleet import CALLER_KEY, sha256
from standins.world import World, run_world

HISTORY_TOKENS = 40_000
BLOCK_BYTES = cost.CACHE_BLOCK_TOKENS * cost.BYTES_PER_TOKEN
HISTORY = "season " + "x" * (4 * HISTORY_TOKENS)


class TestPrefixIndex:
    def test_finds_the_longest_probed_prefix(self):
        probes = probes_of("a" * 80, "account", 8)
        index = PrefixIndex()
        index.replace([probe.digest for probe in probes[:3]], 7)
        assert index.cached_blocks(probes) == probes[2].blocks

    def test_a_gap_in_the_events_is_detected(self):
        index = PrefixIndex()
        assert index.apply([CacheEvent(1, True, 5)])
        assert not index.apply([CacheEvent(3, True, 6)])

    def test_accounts_share_no_prefix(self):
        ours = {probe.digest for probe in probes_of("a" * 80, "ours", 8)}
        theirs = {probe.digest for probe in probes_of("a" * 80, "theirs", 8)}
        assert not ours & theirs


class TestCachedPrefixes:
    async def times_to_first_token_s(self, world: World, questions: int) -> list[float]:
        """Ask questions about one long text and return the times to first token."""
        times = []
        for number in range(questions):
            prompt = HISTORY + f" question {number}"
            url = world.url(world.instances[number % 3])
            seen = await world.caller().complete(url, prompt, 4, 60)
            assert seen.code == "ok"
            times.append(seen.first_token_s)
            await trio.sleep(2)
        return times

    def test_later_questions_go_to_the_engine_with_the_cached_history(self):
        async def scenario(world: World) -> None:
            first, *later = await self.times_to_first_token_s(world, 6)
            assert first > 1.9
            assert max(later) < 0.5

        run_world(scenario)

    def test_the_index_is_resynchronised_after_lost_events(self):
        async def scenario(world: World) -> None:
            for model in world.engine_by_name.values():
                model.knobs.cache_gap_every = 3
            _, *later = await self.times_to_first_token_s(world, 6)
            assert max(later) < 0.5

        run_world(scenario)

    def test_a_restarted_engine_has_no_cached_prefixes(self):
        async def scenario(world: World) -> None:
            await self.times_to_first_token_s(world, 2)
            for name in world.engine_names:
                world.kill(name)
                world.start_engine(name)
            await trio.sleep(2)
            routers = [world.app(name).router for name in world.instances]
            cached = [len(r.prefixes(e)) for r in routers for e in world.engine_names]
            assert sum(cached) == 0

        run_world(scenario)

    def test_another_account_does_not_use_the_cache(self):
        async def scenario(world: World) -> None:
            await self.times_to_first_token_s(world, 2)
            url = world.url("i1")
            prompt = HISTORY + " question 1"
            seen = await world.caller("other key").complete(url, prompt, 4, 60)
            assert seen.first_token_s > 1.9

        accounts = {
            "inspector": {"key_sha256": [sha256(CALLER_KEY)]},
            "other": {"key_sha256": [sha256("other key")]},
        }
        run_world(scenario, tree={"accounts": accounts})
