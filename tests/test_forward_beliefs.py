"""What an instance believes on the users' platform, and where it comes from."""

import json

import trio

from foxtailsaddle.platform import PlatformSchema
from standins.front_world import configuration
from tests.front import eventually, in_world


class TestConfiguration:
    @in_world(plain=1)
    async def test_a_key_that_was_taken_away_is_refused(self, world):
        app = world.apps[0]
        world.rows.put("op", "config", configuration(5, tenants=[]))
        await eventually(lambda: app.fleet.table.version == 5, 1.0)
        assert (await world.ask(app, "/safe/x")).status == 401

    @in_world(plain=1)
    async def test_an_older_version_is_not_taken(self, world):
        app = world.apps[0]
        world.rows.put("op", "config", configuration(7))
        await eventually(lambda: app.fleet.table.version == 7)
        world.rows.put("op", "config", configuration(3, tenants=[]))
        await trio.sleep(0.3)
        assert app.fleet.table.version == 7

    @in_world(plain=1)
    async def test_one_that_cannot_be_read_loses_nothing(self, world):
        app = world.apps[0]
        world.rows.put("op", "config", b"{not json")
        world.rows.put("op", "config", configuration(9, routes=[{"name": "broken"}]))
        await trio.sleep(0.3)
        assert app.fleet.table.version == 1
        assert (await world.ask(app, "/safe/x")).status == 200

    @in_world(plain=1)
    async def test_forgotten_history_is_read_anew(self, world):
        app = world.apps[0]
        world.rows.put("op", "config", configuration(2))
        world.rows.forget_history()
        await eventually(lambda: app.fleet.table.version == 2)

    @in_world(plain=1, instances=2)
    async def test_comes_from_a_peer_while_the_store_refuses_one(self, world):
        first, second = world.apps
        await eventually(lambda: first.peers.live() and second.peers.live())
        world.rows.knobs.refuse = 503
        await eventually(lambda: second.store_sync.list_follower.is_disconnected, 5.0)
        table = platform_table(configuration(4))
        first.fleet.table, first.fleet.configuration_row = table
        await eventually(lambda: second.fleet.table.version == 4)


def platform_table(fields):
    """Return a table and the row that it was decoded from."""
    row = json.dumps(fields).encode()
    return PlatformSchema().configuration(row), row


class TestList:
    @in_world(plain=2)
    async def test_a_draining_endpoint_gets_nothing_new(self, world):
        app = world.apps[0]
        world.rows.put("servers", "p0", world.runners["p0"].entry(state="draining"))
        await eventually(lambda: len(app.fleet.endpoints.usable("plain")) == 1, 1.0)
        for _ in range(4):
            assert (await world.ask(app, "/safe/x")).status == 200
        assert not world.runners["p0"].received

    @in_world(plain=1)
    async def test_foreign_and_broken_entries_name_no_endpoint(self, world):
        good = world.runners["p0"].entry()
        broken = [
            b"\xff\xfe",
            b"[]",
            {},
            good | {"state": "asleep"},
            good | {"address": 7},
            good | {"address": "nowhere"},
            good | {"service": None},
            good | {"slots": "many"},
        ]
        for number, entry in enumerate(broken):
            world.rows.put("servers", f"x{number}", entry)
        world.rows.put("servers", "last", good)
        app = world.apps[0]
        await eventually(lambda: app.fleet.endpoints.get("last"))
        assert len(list(app.fleet.endpoints.all())) == 5

    @in_world(plain=1)
    async def test_what_was_known_holds_while_the_store_is_away(self, world):
        app = world.apps[0]
        world.rows.knobs.silent = True
        await eventually(lambda: app.store_sync.list_follower.is_disconnected, 6.0)
        assert (await world.ask(app, "/safe/x")).status == 200


class TestReaders:
    """A store whose calls are priced, and more instances than need to read it."""

    @in_world(plain=1, engines=0, instances=6)
    async def test_a_few_follow_the_store_for_all(self, world):
        await eventually(
            lambda: sum(app.peers.reads_store for app in world.apps) == 3, within_s=6.0
        )
        world.rows.calls.clear()
        await trio.sleep(2.0)
        assert world.rows.calls["/rows-feed"] <= 3 * 2 * 3

    @in_world(plain=1, engines=0, instances=6)
    async def test_a_change_reaches_all_at_once(self, world):
        await eventually(
            lambda: sum(app.peers.reads_store for app in world.apps) == 3, within_s=6.0
        )
        world.rows.put("servers", "p0", world.runners["p0"].entry(state="draining"))
        await eventually(
            lambda: not any(a.fleet.endpoints.usable("plain") for a in world.apps), 1.0
        )
        world.rows.put("op", "config", configuration(8))
        await eventually(
            lambda: all(app.fleet.table.version == 8 for app in world.apps), 1.0
        )

    @in_world(plain=1, engines=0, instances=5)
    async def test_when_the_readers_die_others_take_their_place(self, world):
        await eventually(
            lambda: sum(app.peers.reads_store for app in world.apps) == 3, within_s=6.0
        )
        left = [app for app in world.apps if not app.peers.reads_store]
        for app in world.apps:
            if app.peers.reads_store:
                world.kill(app)
        world.rows.put("servers", "p0", world.runners["p0"].entry(state="draining"))
        await eventually(
            lambda: not any(app.fleet.endpoints.usable("plain") for app in left), 2.0
        )
