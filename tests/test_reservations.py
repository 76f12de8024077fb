"""Memory at helpers while orders get lost or are carried out late."""

import dataclasses

import pytest
import trio
import trio.testing

from foxtailsaddle.core import (
    DataCentre,
    EndpointId,
    EndpointState,
    InstanceId,
    Job,
    JobId,
    ListedEndpoint,
    RetryWindow,
    ServiceId,
)
from foxtailsaddle.errors import ExchangeBrokenError, NothingSentError
from foxtailsaddle.forward._fleet import Fleet
from foxtailsaddle.forward._reservations import LEASE_S, MemoryFullError, Reservations

HELPERS = (EndpointId("h1"), EndpointId("h2"))
TOKENS = 50_000
LATEST_S = 12.0  # an unanswered order is carried out by then


@dataclasses.dataclass
class LateDesk:
    """Engines that lose answers and carry some orders out late.

    :ivar late_s: by address, how late a reservation is carried out, unanswered.
    :ivar full: addresses without memory.
    """

    late_s: dict[str, float] = dataclasses.field(default_factory=dict)
    full: set[str] = dataclasses.field(default_factory=set)
    held_until: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    reserved: list[str] = dataclasses.field(default_factory=list)
    nursery: trio.Nursery | None = None

    async def reserve(self, address, id, tokens, hold_s):
        self.reserved.append(address)
        if address in self.full:
            return False
        if address in self.late_s:
            self.nursery.start_soon(self._later, address, id, hold_s)
            await trio.sleep(0.6)
            raise ExchangeBrokenError(f'"{address}" did not answer')
        self._hold(address, id, hold_s)
        return True

    async def release(self, address, id):
        self.held_until.pop((address, id), None)

    async def _later(self, address, id, hold_s):
        await trio.sleep(self.late_s[address])
        self._hold(address, id, hold_s)

    def _hold(self, address, id, hold_s):
        self.held_until[address, id] = trio.current_time() + hold_s

    def holding(self):
        now = trio.current_time()
        return sorted(key[0] for key, until in self.held_until.items() if until > now)


def make_fleet():
    fleet = Fleet(InstanceId("i1"), RetryWindow(0.2, 10.0, 100.0))
    for helper in HELPERS:
        entry = ListedEndpoint(
            helper, ServiceId("m"), helper, DataCentre("a"), EndpointState.READY
        )
        fleet.endpoints.put(entry)
    return fleet


def make_job():
    held = dict.fromkeys(HELPERS, TOKENS)
    return Job(
        JobId(1),
        InstanceId("i1"),
        EndpointId("e"),
        HELPERS,
        300_000,
        500,
        900.0,
        1_000.0,
        10.0,
        held=held,
    )


def run(desk, scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            desk.nursery = nursery
            await scenario(Reservations(make_fleet(), desk, nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class TestAnswered:
    def test_memory_is_renewed_while_the_request_runs_and_then_given_back(self):
        desk = LateDesk()

        async def scenario(reservations):
            async with reservations.reserved(make_job(), 30.0):
                await trio.sleep(3 * LEASE_S)
                assert desk.holding() == list(HELPERS)
            await trio.sleep(0.1)
            assert desk.holding() == []

        run(desk, scenario)

    def test_it_is_all_or_nothing(self):
        desk = LateDesk(full={"h2"})

        async def scenario(reservations):
            with pytest.raises(MemoryFullError):
                async with reservations.reserved(make_job(), 30.0):
                    pass
            await trio.sleep(0.1)
            assert desk.holding() == []

        run(desk, scenario)


class TestLateOrders:
    @pytest.mark.parametrize("late_s", [2.0, 4.0, 7.0, LATEST_S])
    def test_what_is_carried_out_late_is_given_back_soon(self, late_s):
        desk = LateDesk(late_s={"h2": late_s})

        async def scenario(reservations):
            with pytest.raises(NothingSentError):
                async with reservations.reserved(make_job(), 30.0):
                    pass
            began_at = trio.current_time()
            held_s = 0.0
            while trio.current_time() < began_at + LATEST_S + LEASE_S:
                await trio.sleep(0.1)
                held_s += 0.1 * bool(desk.holding())
            assert 0 < held_s <= LEASE_S + 0.2
            assert desk.holding() == []

        run(desk, scenario)

    def test_the_other_helpers_memory_is_given_back_at_once(self):
        desk = LateDesk(late_s={"h2": LATEST_S})

        async def scenario(reservations):
            with pytest.raises(NothingSentError):
                async with reservations.reserved(make_job(), 30.0):
                    pass
            await trio.sleep(0.1)
            assert desk.holding() == []

        run(desk, scenario)

    def test_a_caller_that_leaves_meanwhile_leaves_nothing_behind(self):
        desk = LateDesk(late_s={"h2": 5.0})

        async def scenario(reservations):
            with trio.move_on_after(0.3):
                async with reservations.reserved(make_job(), 30.0):
                    pass
            await trio.sleep(5.5)
            assert desk.holding() == []

        run(desk, scenario)

    def test_a_lost_renewal_does_not_end_the_request(self):
        desk = LateDesk()

        async def scenario(reservations):
            async with reservations.reserved(make_job(), 30.0):
                desk.late_s["h2"] = 2.0
                await trio.sleep(2 * LEASE_S)
                assert "h1" in desk.holding()

        run(desk, scenario)
