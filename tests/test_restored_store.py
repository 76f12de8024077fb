"""Tests for a store that is restored from a backup some seconds old.

Load pattern: the store loses its last changes, and assigns their versions again to
other changes, while instances and endpoints come and go.
"""

import trio

from foxtailsaddle.core import (
    DataCentre,
    EndpointId,
    EndpointState,
    ListedEndpoint,
    RetiredEndpoints,
    ServiceId,
    StoreVersion,
)
from standins.front_world import configuration
from tests.loopback_world import eventually, in_world

BACKUP_AGE_S = 0.5
STABLE_S = 3.0  # after the restore, until endpoints must drain in time
DRAIN_S = 2.0


async def three_readers(world):
    """Wait until three of the instances read the store."""
    await eventually(
        lambda: sum(app.peers.reads_store for app in world.apps) == 3, within_s=6.0
    )


async def write_lost_changes(world, count=20):
    """Write changes of the list that a restore is going to lose."""
    await trio.sleep(BACKUP_AGE_S + 0.1)
    for number in range(count):
        world.rows.put("servers", "p1", world.runners["p1"].entry(sequence=number))
    await eventually(
        lambda: all(
            app.peers.list_version.number == world.rows.version for app in world.apps
        )
    )


def usable_ids(app):
    """Return the ids of the usable plain endpoints."""
    return {entry.id for entry in app.fleet.endpoints.usable("plain")}


async def drained_everywhere(world, apps, runner="p0"):
    """Drain an endpoint and wait until none of the instances uses it."""
    world.rows.put("servers", runner, world.runners[runner].entry(state="draining"))
    await eventually(
        lambda: not any(runner in usable_ids(app) for app in apps), DRAIN_S
    )


class TestDrainAfterARestore:
    """Versions of the list are lower than those that the instances had seen."""

    @in_world(plain=2, engines=0, instances=6)
    async def test_all_instances_stop_using_a_draining_endpoint(self, world):
        await three_readers(world)
        await write_lost_changes(world)
        world.rows.restore(BACKUP_AGE_S)
        await trio.sleep(STABLE_S)
        await drained_everywhere(world, world.apps)

    @in_world(plain=2, engines=0, instances=6)
    async def test_a_change_that_repeats_a_lost_version_is_applied(self, world):
        await three_readers(world)
        await write_lost_changes(world)
        lost_version = world.rows.version
        world.rows.restore(BACKUP_AGE_S)
        while world.rows.version < lost_version + 1:
            world.rows.put("servers", "p1", world.runners["p1"].entry())
        await drained_everywhere(world, world.apps)

    @in_world(plain=2, engines=0, instances=6)
    async def test_two_restores_in_succession(self, world):
        await three_readers(world)
        await write_lost_changes(world)
        world.rows.restore(BACKUP_AGE_S)
        await trio.sleep(1.0)
        world.rows.put("servers", "p1", world.runners["p1"].entry())
        world.rows.restore(BACKUP_AGE_S)
        await trio.sleep(STABLE_S)
        await drained_everywhere(world, world.apps)

    @in_world(plain=2, engines=0, instances=6)
    async def test_an_instance_that_hears_of_the_restore_from_a_peer(self, world):
        await three_readers(world)
        await write_lost_changes(world)
        last = next(app for app in world.apps if app.peers.reads_store)
        answers = trio.Event()
        for follower in followers(last):
            delay_calls(follower, answers)
        world.rows.restore(BACKUP_AGE_S)
        await trio.sleep(1.0)
        answers.set()
        await trio.sleep(STABLE_S)
        await drained_everywhere(world, world.apps)

    @in_world(plain=2, engines=0, instances=4)
    async def test_an_instance_that_was_cut_off_from_the_store(self, world):
        await three_readers(world)
        await write_lost_changes(world)
        cut_off = world.apps[-1]
        for follower in followers(cut_off):
            follower.is_disconnected = True
            delay_calls(follower, trio.Event())
        world.rows.restore(BACKUP_AGE_S)
        await trio.sleep(STABLE_S)
        await drained_everywhere(world, world.apps)


def followers(app):
    """Return the followers of both tables."""
    return app.store_sync.list_follower, app.store_sync.configuration_follower


def delay_calls(follower, until):
    """Hold back a follower's calls to the store until an event."""
    read_next = follower._read_next

    async def delayed(wait_s):
        await until.wait()
        await read_next(wait_s)

    follower._read_next = delayed


class TestListAfterARestore:
    """The restored list names endpoints that have left, and lacks new ones."""

    @in_world(plain=2, engines=0, instances=2)
    async def test_an_endpoint_that_drained_is_not_used_again(self, world):
        await trio.sleep(BACKUP_AGE_S + 0.1)
        await drained_everywhere(world, world.apps)
        world.rows.restore(BACKUP_AGE_S)
        for _ in range(30):
            await trio.sleep(0.1)
            assert not any("p0" in usable_ids(app) for app in world.apps)

    @in_world(plain=2, engines=0, instances=2)
    async def test_an_endpoint_that_left_is_not_used_again(self, world):
        await trio.sleep(BACKUP_AGE_S + 0.1)
        world.rows.delete("servers", "p0")
        await eventually(lambda: not any("p0" in usable_ids(a) for a in world.apps))
        world.rows.restore(BACKUP_AGE_S)
        for _ in range(30):
            await trio.sleep(0.1)
            assert not any("p0" in usable_ids(app) for app in world.apps)

    @in_world(plain=2, engines=0, instances=2)
    async def test_an_endpoint_whose_process_writes_again_is_used(self, world):
        await trio.sleep(BACKUP_AGE_S + 0.1)
        world.rows.delete("servers", "p0")
        await eventually(lambda: not any("p0" in usable_ids(a) for a in world.apps))
        world.rows.restore(BACKUP_AGE_S)
        await trio.sleep(0.5)
        world.rows.put("servers", "p0", world.runners["p0"].entry())
        await eventually(lambda: all("p0" in usable_ids(a) for a in world.apps))

    @in_world(plain=1, engines=0, instances=2)
    async def test_a_lost_endpoint_stays_usable_until_it_has_had_time_to_return(
        self, world
    ):
        await trio.sleep(BACKUP_AGE_S + 0.1)
        await world.add_runner("p9", "plain")
        await eventually(lambda: all("p9" in usable_ids(a) for a in world.apps))
        world.rows.restore(BACKUP_AGE_S)
        for _ in range(15):
            await trio.sleep(0.1)
            assert all("p9" in usable_ids(app) for app in world.apps)
        await eventually(lambda: not any("p9" in usable_ids(a) for a in world.apps))

    @in_world(plain=2, engines=0, instances=2)
    async def test_the_list_of_an_earlier_era_is_not_copied_from_a_peer(self, world):
        behind, ahead = world.apps
        await trio.sleep(BACKUP_AGE_S + 0.1)
        await drained_everywhere(world, world.apps)
        world.rows.restore(BACKUP_AGE_S)
        await eventually(lambda: ahead.peers.list_version.era == 2)
        behind.peers.list_version = StoreVersion(1, 1000)
        behind.fleet.endpoint_rows["px"] = b"{}"
        ahead.store_sync.list_follower.is_disconnected = True
        await ahead.store_sync._fetch(behind.env.settings.control, with_list=True)
        assert "px" not in ahead.fleet.endpoint_rows


class TestStartDuringARestore:
    """An instance starts from a peer's snapshot while the store is away."""

    @in_world(plain=2, engines=0, instances=1)
    async def test_the_list_of_an_earlier_era_is_replaced(self, world):
        old = world.apps[0]
        await write_lost_changes(world)
        world.rows.knobs.refuse = 503
        await eventually(lambda: old.store_sync.list_follower.is_disconnected, 5.0)
        seeds = (old.env.settings.control,)
        new = await world.add_instance(seeds=seeds)
        await eventually(lambda: new.peers.live() and usable_ids(new), 5.0)
        assert new.peers.list_version.era == 1
        world.rows.restore(BACKUP_AGE_S)
        world.rows.knobs.refuse = 0
        await eventually(lambda: new.peers.list_version.era == 2, 5.0)
        await drained_everywhere(world, world.apps)


class TestConfigurationAfterARestore:
    """The restored configuration is older than the one in force."""

    @in_world(plain=1, engines=0, instances=3)
    async def test_the_configuration_in_force_is_kept_until_a_newer_one(self, world):
        await trio.sleep(BACKUP_AGE_S + 0.1)
        world.rows.put("op", "config", configuration(8))
        await eventually(lambda: has_version(world, 8))
        world.rows.restore(BACKUP_AGE_S)
        await trio.sleep(1.0)
        assert has_version(world, 8)
        world.rows.put("op", "config", configuration(9))
        await eventually(lambda: has_version(world, 9), 1.5)

    @in_world(plain=1, engines=0, instances=6)
    async def test_a_configuration_written_during_the_restore(self, world):
        await three_readers(world)
        await write_lost_changes_of_configuration(world)
        world.rows.knobs.refuse = 503
        await trio.sleep(0.5)
        world.rows.restore(BACKUP_AGE_S + 0.5)
        world.rows.put("op", "config", configuration(30))
        world.rows.knobs.refuse = 0
        await eventually(lambda: has_version(world, 30), 4.0)

    @in_world(plain=1, engines=0, instances=2)
    async def test_a_starting_instance_takes_the_newer_one_from_a_peer(self, world):
        await trio.sleep(BACKUP_AGE_S + 0.1)
        world.rows.put("op", "config", configuration(8))
        await eventually(lambda: has_version(world, 8))
        world.rows.restore(BACKUP_AGE_S)
        await world.add_instance()
        await eventually(lambda: has_version(world, 8))


def has_version(world, version):
    """Return whether all instances have a version of the configuration in force."""
    return all(
        app.fleet.route_table is not None and app.fleet.route_table.version == version
        for app in world.apps
    )


async def write_lost_changes_of_configuration(world):
    """Write versions of the configuration that a restore is going to lose."""
    await trio.sleep(BACKUP_AGE_S + 0.1)
    for version in range(2, 10):
        world.rows.put("op", "config", configuration(version))
    await eventually(lambda: has_version(world, 9))


class TestRegistration:
    @in_world(plain=1, engines=0, instances=2)
    async def test_a_lost_row_of_an_instance_is_written_again(self, world):
        await trio.sleep(BACKUP_AGE_S + 0.1)
        await world.add_instance()
        await eventually(lambda: ("instances", "i3") in world.rows.rows)
        world.rows.restore(BACKUP_AGE_S)
        assert ("instances", "i3") not in world.rows.rows
        await eventually(lambda: ("instances", "i3") in world.rows.rows, 4.0)


class TestLateAnswers:
    @in_world(plain=1, engines=0, instances=1)
    async def test_an_answer_from_before_the_restore_is_not_applied(self, world):
        sync = world.apps[0].store_sync
        assert sync._accept_version(StoreVersion(2, 5))
        assert not sync._accept_version(StoreVersion(1, 500))


def listed(state=EndpointState.READY, born_ms=1):
    """Return the entry of an endpoint."""
    return ListedEndpoint(
        EndpointId("e"), ServiceId("s"), "h:1", DataCentre("a"), state, 1, born_ms
    )


class TestRetiredEndpoints:
    def test_a_restored_entry_of_a_draining_endpoint_is_draining(self):
        retired = RetiredEndpoints()
        retired.correct(listed(EndpointState.DRAINING), StoreVersion(1, 9), False)
        entry = retired.correct(listed(), StoreVersion(2, 5), True)
        assert entry.state is EndpointState.DRAINING

    def test_the_same_version_is_outdated_when_it_is_read_again(self):
        retired = RetiredEndpoints()
        retired.correct(listed(EndpointState.DRAINING), StoreVersion(1, 9), False)
        retired.correct(listed(), StoreVersion(2, 5), True)
        entry = retired.correct(listed(), StoreVersion(2, 5), False)
        assert entry.state is EndpointState.DRAINING

    def test_an_entry_that_was_written_after_the_restore_counts(self):
        retired = RetiredEndpoints()
        retired.correct(listed(EndpointState.DRAINING), StoreVersion(1, 9), False)
        retired.correct(listed(), StoreVersion(2, 5), True)
        entry = retired.correct(listed(), StoreVersion(2, 6), False)
        assert entry.state is EndpointState.READY

    def test_another_process_under_the_same_id_counts(self):
        retired = RetiredEndpoints()
        retired.correct(listed(EndpointState.DRAINING), StoreVersion(1, 9), False)
        entry = retired.correct(listed(born_ms=2), StoreVersion(2, 5), True)
        assert entry.state is EndpointState.READY

    def test_an_endpoint_that_was_ready_stays_ready(self):
        retired = RetiredEndpoints()
        retired.correct(listed(), StoreVersion(1, 9), False)
        entry = retired.correct(listed(), StoreVersion(2, 5), True)
        assert entry.state is EndpointState.READY


class TestStoreVersion:
    def test_a_later_era_is_later_whatever_its_number(self):
        assert StoreVersion(2, 1) > StoreVersion(1, 100)
