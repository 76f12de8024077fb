"""Load pattern: more requests than slots, in one instance's waiting room."""

import dataclasses
import types

import pytest
import trio
import trio.testing

from foxtailsaddle.core import EndpointId, ServiceId, StreamPlan, Waiter, WaitingLine
from foxtailsaddle.errors import OverloadedError
from foxtailsaddle.forward._slot_queues import SlotQueues
from foxtailsaddle.ports import PromptSize

AIM_S = 0.3
READING_MS = 100.0


def waiter(arrived_at, in_time_s=0.2, is_long=False, leaves_s=1.0):
    return Waiter(arrived_at, arrived_at + in_time_s, arrived_at + leaves_s, is_long)


def always(_):
    return True


def never(_):
    return False


class TestOrder:
    def line(self, *waiters):
        line = WaitingLine()
        for item in waiters:
            line.add(item)
        return line

    def test_the_newest_that_can_be_in_time_goes_first(self):
        old, new = waiter(1.0), waiter(1.1)
        assert self.line(new, old).next(1.15, always) is new

    def test_long_prompts_go_before_short_ones(self):
        long, new = waiter(1.0, in_time_s=2.0, is_long=True), waiter(1.1)
        assert self.line(new, long).next(1.15, always) is long

    def test_a_late_one_lets_those_in_time_go_first(self):
        late, new = waiter(0.0), waiter(1.1)
        assert self.line(late, new).next(1.15, always) is new

    def test_one_that_no_engine_suits_does_not_hold_up_the_others(self):
        fits, stuck = waiter(1.0), waiter(1.1)
        line = self.line(fits, stuck)
        assert line.next(1.15, lambda item: item is fits) is fits

    def test_nobody_goes_without_a_slot(self):
        line = self.line(waiter(1.0))
        assert line.next(1.1, never) is None
        assert len(line) == 1

    def test_a_late_one_goes_once_a_slot_stayed_free(self):
        oldest, late = waiter(0.0), waiter(0.5)
        line = self.line(late, oldest)
        assert line.next(1.0, always) is None
        assert line.next(1.005, always) is oldest

    def test_a_slot_that_was_taken_between_is_not_free_for_a_late_one(self):
        line = self.line(waiter(0.0))
        assert line.next(1.0, always) is None
        assert line.next(1.005, never) is None
        assert line.next(1.01, always) is None

    def test_those_whose_time_is_over_leave(self):
        old, new = waiter(0.0), waiter(0.5)
        assert self.line(old, new).leaving(1.2) == [old]


@dataclasses.dataclass
class Engines:
    """A service with so many free slots, as one instance believes."""

    free: int = 0
    sent: list[str] = dataclasses.field(default_factory=list)

    def place(self) -> StreamPlan:
        slot_ms = 0.0 if self.free else 400.0
        return StreamPlan(
            EndpointId("e"), (), 20.0, {}, READING_MS + slot_ms, 0.0, slot_ms
        )


class Placing:
    def has_free_slot(self, service, spec):
        return True


def call(name, tokens=2_000):
    now = trio.current_time()
    return types.SimpleNamespace(
        request=types.SimpleNamespace(id=name, prompt=PromptSize(tokens, 100)),
        service=types.SimpleNamespace(id=ServiceId("model"), engine=None),
        route=types.SimpleNamespace(aim_s=AIM_S, gap_s=0.25),
        arrived_at=now,
        expires_at=now + 10.0,
        log_fields={},
    )


class TestWaitingRooms:
    def run(self, scenario):
        async def main():
            async with trio.open_nursery() as background:
                await scenario(SlotQueues(Placing(), background))
                background.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def ask(self, rooms, engines, name, tokens=2_000):
        """Wait for a slot, take it and keep it."""
        await rooms.wait_for_slot(call(name, tokens), engines.place)
        engines.free -= 1
        engines.sent.append(name)

    def test_a_request_that_finds_a_slot_does_not_wait(self):
        async def scenario(rooms):
            engines = Engines(free=1)
            began_at = trio.current_time()
            await self.ask(rooms, engines, "a")
            assert trio.current_time() == began_at

        self.run(scenario)

    def test_one_slot_lets_one_request_go_the_newest(self):
        async def scenario(rooms):
            engines = Engines()
            async with trio.open_nursery() as nursery:
                for name in ("old", "new"):
                    nursery.start_soon(self.ask, rooms, engines, name)
                    await trio.sleep(0.02)
                engines.free = 1
                await trio.sleep(0.02)
                assert engines.sent == ["new"]
                nursery.cancel_scope.cancel()

        self.run(scenario)

    def test_a_short_prompt_is_refused_while_others_get_slots(self):
        async def scenario(rooms):
            engines = Engines()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.keep_busy, rooms, engines)
                began_at = trio.current_time()
                with pytest.raises(OverloadedError) as refused:
                    await rooms.wait_for_slot(call("x"), lambda: Engines().place())
                assert 1.0 < trio.current_time() - began_at < 2.0
                assert 1.0 <= refused.value.retry_after_s <= 4.0
                nursery.cancel_scope.cancel()

        self.run(scenario)

    async def keep_busy(self, rooms, engines):
        """Let another request pass every 0.1 s."""
        while True:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.ask, rooms, engines, "other")
                await trio.sleep(0.1)
                engines.free += 1

    def test_books_without_any_free_slot_are_doubted(self):
        async def scenario(rooms):
            await rooms.wait_for_slot(call("x"), Engines().place)

        self.run(scenario)

    def test_a_long_prompt_goes_to_an_engines_queue(self):
        async def scenario(rooms):
            engines = Engines()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.keep_busy, rooms, engines)
                await rooms.wait_for_slot(call("x", 50_000), lambda: Engines().place())
                nursery.cancel_scope.cancel()

        self.run(scenario)

    def test_a_caller_that_leaves_frees_its_place(self):
        async def scenario(rooms):
            engines = Engines()
            with trio.move_on_after(0.05):
                await rooms.wait_for_slot(call("gone"), engines.place)
            engines.free = 1
            await self.ask(rooms, engines, "next")
            assert engines.sent == ["next"]

        self.run(scenario)
