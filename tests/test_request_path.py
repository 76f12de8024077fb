"""Tests for completions from the caller to an engine, in virtual time."""

import trio

from standins.engine_model import expected_answer
from standins.world import World, run_world

from . import history


class TestCompletion:
    def test_prompts_of_different_lengths_get_complete_answers(self):
        async def scenario(world: World) -> None:
            caller = world.caller()
            seen = []

            async def send_one(index: int, size: int) -> None:
                url = world.url(f"i{index % 3 + 1}")
                seen.append(await caller.complete(url, f"{index} " + "x" * size, 8))

            async with trio.open_nursery() as nursery:
                for index, size in enumerate((4_000, 120_000, 1_200_000)):
                    nursery.start_soon(send_one, index, size)
            assert [item.code for item in seen] == ["ok"] * 3
            history.check_in_time(seen)
            history.check_answers_match_prompts(seen, 8)
            history.check_no_memory_leaked(world)

        run_world(scenario)

    def test_an_answer_without_streaming_is_one_json_document(self):
        async def scenario(world: World) -> None:
            import json

            from foxtailsaddle.ports import HttpRequest

            caller = world.caller()
            body = {"model": "drafts", "max_tokens": 5}
            body["messages"] = [{"role": "user", "content": "how is the brake?"}]
            request = HttpRequest(
                "POST",
                world.url("i1") + "/v1/chat/completions",
                headers=caller._headers(10),
                body=json.dumps(body).encode(),
            )
            async with caller._client.exchange(request) as response:
                answer = json.loads(await response.read())
            content = answer["choices"][0]["message"]["content"]
            assert content == expected_answer("how is the brake?", 5)
            assert answer["usage"]["completion_tokens"] == 5

        run_world(scenario)
