"""Tests for the datagrams of peers: from which of their processes they count."""

import pytest
import trio
import trio.testing

from foxtailsaddle.core import EndpointId, InstanceId, Job, JobId, RetryWindow
from foxtailsaddle.forward._datagrams import (
    NO_VERSION,
    DatagramHeader,
    JobPlaced,
    encode,
)
from foxtailsaddle.forward._fleet import FleetState
from foxtailsaddle.forward._peers import (
    FORGET_AFTER_S,
    LARGE_FLEET_PEERS,
    MAX_PENDING_UPDATES,
    Peers,
)
from tests.loopback_world import eventually

HOST = "127.0.0.1"
ADDRESS = (HOST, 9)
OTHER = InstanceId("i2")


@pytest.fixture
def peers() -> Peers:
    fleet = FleetState(InstanceId("i1"), RetryWindow(0.2, 10.0, 100.0))
    return Peers(fleet, "", HOST, 0)


def greeting(incarnation, sender=OTHER, configuration=1, leaving=False):
    """Return the header of a datagram from one process of an instance."""
    return DatagramHeader(
        sender, incarnation, "", configuration, leaving, False, NO_VERSION, False
    )


def receive(peers, *greetings):
    """Let an instance receive datagrams and return its record of the sender."""

    async def main():
        for item in greetings:
            peers._handle_header(item, ADDRESS)
        return peers._peer_by_id.get(OTHER)

    return trio.run(main)


class TestIncarnations:
    def test_a_newer_process_is_accepted(self, peers):
        peer = receive(peers, greeting(5), greeting(7, configuration=2))
        assert peer.configuration_version == 2

    def test_a_process_started_after_its_clock_was_set_back_is_accepted(self, peers):
        peer = receive(peers, greeting(7), greeting(5, configuration=2))
        assert peer.configuration_version == 2

    def test_a_late_datagram_of_the_previous_process_is_dropped(self, peers):
        peer = receive(
            peers, greeting(7), greeting(5), greeting(7, configuration=9, leaving=True)
        )
        assert peer.configuration_version == 1
        assert not peer.leaving

    def test_the_jobs_of_the_previous_process_are_removed(self, peers):
        job = Job(JobId(1), OTHER, EndpointId("e"), (), 10, 10, 1.0, 250.0, 1.0)
        peers._fleet.engine_loads.place(job, 1000.0, 0.0)
        receive(peers, greeting(7), greeting(5))
        assert len(peers._fleet.engine_loads) == 0


class TestManyDatagrams:
    """Load pattern: a large fleet, where each instance is notified of each request."""

    def test_all_waiting_datagrams_are_processed_together(self, peers):
        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peers.run)
                await eventually(lambda: peers._sock is not None)
                address = peers._sock.getsockname()
                sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
                for number in range(100):
                    sender = InstanceId(f"p{number % (LARGE_FLEET_PEERS + 4)}")
                    job = Job(
                        JobId(number),
                        sender,
                        EndpointId("e"),
                        (),
                        10,
                        10,
                        1.0,
                        250,
                        1.0,
                    )
                    data = encode(greeting(1, sender), [JobPlaced(job, 5_000.0)])
                    await sock.sendto(data, address)
                await eventually(lambda: len(peers._fleet.engine_loads) == 100)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_updates_beyond_the_limit_are_counted(self, peers):
        async def main():
            for number in range(MAX_PENDING_UPDATES + 3):
                peers.notify_began(JobId(number))

        trio.run(main)
        assert peers.dropped_updates == 3


class TestIsolation:
    """Load pattern: an instance is cut off until all others have forgotten it."""

    def test_an_instance_that_hears_others_again_looks_for_the_rest(self, peers):
        rejoined = []

        async def main():
            peers.on_rejoined = lambda: rejoined.append(True)
            await trio.sleep(1.0)
            for number in range(3):
                sender = InstanceId(f"p{number}")
                peers._handle_header(greeting(1, sender), ADDRESS)
            await trio.sleep(2 * FORGET_AFTER_S)
            for peer in list(peers._peer_by_id.values()):
                peers._expire_if_silent(peer, trio.current_time())
            assert not rejoined
            peers._handle_header(greeting(1, InstanceId("p1")), ADDRESS)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert rejoined == [True]
