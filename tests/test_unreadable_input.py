"""Tests of the rule for all data that other programs write.

Reading it ends in a value to use or in one typed error, and what can't be read doesn't
affect anything beside it.
"""

import contextlib
import json
import math

import hypothesis
import pytest
from hypothesis import strategies as st

from foxtailsaddle._input_readers import MAX_NUMBER
from foxtailsaddle.errors import (
    UnreadableInputError,
)
from foxtailsaddle.platform import (
    PlatformSchema,
)
from tests.log_records import recorded_logs
from tests.loopback_world import eventually, in_world

NESTED = b"[" * 4096  # the parser of JSON gives up with an error of its own
BALANCED = b"[" * 900 + b"]" * 900  # it is read, but can't be printed
HUGE_INTEGER = 10**400
ODD_NUMBERS = [HUGE_INTEGER, -1, math.inf, math.nan, True, "1", None, [1], {}]
ODD_NAMES = ["", "\ud800", "x" * 300, 7, None, ["a"], {}]
ODD_BYTES = [b"", b"\xff\xfe", b"null", b"[]", b"7", b"{}", NESTED, BALANCED]
ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "born": 1_700_000_000_000,
    "cold_remaining_ms": 0,
}

# As JSON can carry it, with every kind of number and text.
odd_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda item: st.lists(item) | st.dictionaries(st.text(), item),
    max_leaves=8,
)
fuzzed = hypothesis.settings(max_examples=150, derandomize=True, deadline=None)


def str_of_part(value):
    """Return a short id of a parameter."""
    return repr(value)[:40]


def odd_entries():
    """Return values of rows that name no endpoint to use, with an id each."""
    changes = [{"service": name} for name in ODD_NAMES]
    changes += [{"zone": name} for name in ODD_NAMES]
    changes += [{"slots": number} for number in ODD_NUMBERS]
    changes += [{"born": number} for number in [*ODD_NUMBERS, MAX_NUMBER + 1, 1.5]]
    changes += [{"cold_remaining_ms": number} for number in ODD_NUMBERS]
    changes += [{"state": state} for state in ("gone", [], {}, None, 1)]
    changes += [{"address": address} for address in (None, 7, [], "x:80", "10.0.0.1:")]
    changes += [{"address": {"deep": json.loads(BALANCED)}}]
    return [*ODD_BYTES, *(json.dumps(ENTRY | change).encode() for change in changes)]


class TestEndpointEntries:
    # Guards against errors of other types, which lost the whole list (review case 2).
    @pytest.mark.parametrize("value", odd_entries(), ids=str_of_part)
    def test_an_odd_entry_is_unreadable(self, value):
        with pytest.raises(UnreadableInputError):
            PlatformSchema().decode_endpoint("p1", value)

    # Guards against an id that no request can be sent with.
    @pytest.mark.parametrize("key", ["", "a b", "a\r\nx: y", "ā", "x" * 300])
    def test_a_key_that_no_header_can_hold_is_unreadable(self, key):
        with pytest.raises(UnreadableInputError):
            PlatformSchema().decode_endpoint(key, json.dumps(ENTRY).encode())

    @fuzzed
    @hypothesis.given(st.sampled_from(sorted(ENTRY)), odd_json)
    def test_any_value_of_a_field_is_used_or_unreadable(self, name, value):
        entry = json.dumps(ENTRY | {name: value}).encode()
        with contextlib.suppress(UnreadableInputError):
            PlatformSchema().decode_endpoint("p1", entry)


class TestListOfEndpoints:
    """An entry that can't be read names no endpoint, and the others hold."""

    # Guards against an instance that starts beside such an entry and serves nothing,
    # and against one that stops reading the list (review case 2, RECOVER).
    @in_world(engines=0, plain=2, instances=1)
    async def test_an_instance_that_starts_beside_odd_entries_serves(self, world):
        for number, value in enumerate(odd_entries()):
            world.rows.put("servers", f"foreign-{number}", value)
        app = await world.add_instance()
        await world.ready(app, 2)
        assert (await world.ask(app, "/safe/x")).status == 200
        await world.add_runner("p9", "plain")
        await eventually(lambda: "p9" in app.fleet.endpoints)

    # Guards against losing the rows behind an odd one in the same answer of the feed.
    @in_world(engines=0, plain=1, instances=2)
    async def test_the_rows_behind_an_odd_one_are_applied(self, world):
        rows = [("servers", f"a{n}", value) for n, value in enumerate(odd_entries())]
        entry = world.runners["p0"].entry()
        world.rows._apply([*rows, ("servers", "p9", json.dumps(entry).encode())])
        for app in world.apps:
            await eventually(lambda app=app: "p9" in app.fleet.endpoints)
            reader = app.store_sync.list_rows
            await eventually(lambda app=app: app.peers.live())
            assert not any(key.startswith("a") for key in app.fleet.endpoint_rows)
        assert any(len(a.store_sync.list_rows.unreadable_keys) for a in world.apps)
        assert reader.unreadable_keys <= {key for _, key, _ in rows}

    @in_world(engines=0, plain=2, instances=1)
    async def test_an_entry_that_becomes_odd_is_as_one_that_is_gone(self, world):
        app = world.apps[0]
        with recorded_logs() as logs:
            world.rows.put("servers", "p0", NESTED)
            await eventually(lambda: "p0" not in app.fleet.endpoints)
            assert logs.with_message("list: entry ignored")
        assert app.store_sync.list_rows.unreadable_keys == {"p0"}
        world.rows.put("servers", "p0", world.runners["p0"].entry())
        await eventually(lambda: "p0" in app.fleet.endpoints)
        assert not app.store_sync.list_rows.unreadable_keys

    # Guards against a reader that goes on after rows that it didn't apply.
    @in_world(engines=0, plain=1, instances=1)
    async def test_rows_that_could_not_be_applied_are_read_again(self, world):
        app = world.apps[0]
        follower = app.store_sync.list_follower
        apply_rows, failures = follower._on_rows, [1]

        def fail_once(*arguments):
            if failures:
                failures.pop()
                raise ZeroDivisionError
            apply_rows(*arguments)

        follower._on_rows = fail_once
        await world.add_runner("p9", "plain")
        await eventually(lambda: "p9" in app.fleet.endpoints, 5.0)
