"""Tests of the rule for all data that other programs write.

Reading it ends in a value to use or in one typed error, and what can't be read doesn't
affect anything beside it.
"""

import base64
import contextlib
import dataclasses
import functools
import json
import math

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from foxtailsaddle._input_readers import MAX_NUMBER
from foxtailsaddle.adapters import (
    HttpPlatform,
    OperatorClient,
    read_settings_file,
)
from foxtailsaddle.adapters._peer_codec import decode as decode_envelope
from foxtailsaddle.core import (
    DataCentre,
    EndpointId,
    EvacuatedDataCentres,
    InstanceId,
    Job,
    JobId,
    StoreVersion,
)
from foxtailsaddle.errors import (
    ExchangeBrokenError,
    FoxtailsaddleError,
    PlatformUnavailableError,
    SettingsError,
    UnreadableInputError,
)
from foxtailsaddle.forward.peers import decode_snapshot
from foxtailsaddle.forward.peers._datagrams import (
    decode as decode_datagram,
    encode as encode_datagram,
)
from foxtailsaddle.forward.peers._messages import (
    NOTHING_EVACUATED,
    DatagramHeader,
    JobPlaced,
)
from foxtailsaddle.platform import (
    HttpEngineControl,
    HttpStore,
    PlatformHeaderCodec,
    PlatformSchema,
    read_process_settings,
)
from foxtailsaddle.ports import HttpReply
from standins.front_world import configuration
from tests.log_records import recorded_logs
from tests.loopback_world import eventually, in_world
from tests.test_platform_adapter import SETTINGS, write
from tests.test_unexpected_answers import FixedClient, platform_answering

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


class TestPartsOfATable:
    # Guards against an entry of another part of the table that replaces a runner's own.
    @in_world(engines=0, plain=1, instances=1)
    async def test_rows_of_other_parts_are_others(self, world):
        draining = world.runners["p0"].entry(state="draining")
        row = {
            "table": "servers",
            "part": "archive",
            "key": "p0",
            "ver": 99,
            "value": base64.b64encode(json.dumps(draining).encode()).decode(),
        }
        fields = {"rows": [row], "ver": 99, "now_ms": 1}
        store = HttpStore(FixedHttpClient(json.dumps(fields).encode()))
        rows = await store.changes("servers", StoreVersion(0, 98), 0.1)
        assert rows.rows == []
        assert rows.version.number == 99


class TestConfiguration:
    @pytest.mark.parametrize("value", ODD_BYTES)
    def test_odd_bytes_are_refused(self, value):
        with pytest.raises(SettingsError):
            PlatformSchema().decode_configuration(value)

    @fuzzed
    @hypothesis.given(
        st.sampled_from(["routes", "services", "limits", "tenants", "version"]),
        st.sampled_from([None, "name", "timeout_ms", "engine", "api_keys", "priority"]),
        odd_json,
    )
    def test_any_value_is_used_or_refused(self, part, field, value):
        fields = configuration()
        if field is None or not isinstance(fields[part], list):
            fields[part] = value
        else:
            fields[part][0][field] = value
        with contextlib.suppress(SettingsError):
            PlatformSchema().decode_configuration(json.dumps(fields).encode())

    # Guards against a reader of the store that ends because of one row.
    @in_world(engines=0, plain=1, instances=1)
    async def test_the_former_one_stays_in_force_beside_an_odd_one(self, world):
        app = world.apps[0]
        for value in ODD_BYTES:
            world.rows.put("op", "config", value)
        world.rows.put("op", "evacuate/\ud800", b"{}")
        await trio.sleep(0.5)
        assert (await world.ask(app, "/safe/x")).status == 200
        world.rows.put("op", "config", configuration(5))
        await eventually(lambda: app.fleet.route_table.version == 5)

    # Guards against requests without an answer of an account with such a name.
    @in_world(engines=0, plain=1, instances=1)
    async def test_an_account_may_have_a_name_of_any_script(self, world):
        tenants = [{"name": "kārlis 株式会社", "api_keys": ["key-1"]}]
        world.rows.put("op", "config", configuration(2, tenants=tenants))
        await eventually(lambda: world.apps[0].fleet.route_table.version == 2)
        assert (await world.ask(world.apps[0], "/safe/x")).status == 200


class FixedHttpClient:
    """A client whose calls all get the same body."""

    def __init__(self, body, headers=()):
        self._reply = HttpReply(200, body, list(headers))

    async def call(self, *_):
        return self._reply

    async def aclose(self):
        pass


class TestResponses:
    """Load reports of engines and answers of the store."""

    @pytest.mark.parametrize(
        "body", [b"", b"[]", b"7", NESTED, BALANCED, b'{"pace":0}']
    )
    def test_an_odd_load_report_is_no_report(self, body):
        control = HttpEngineControl(lambda _: FixedHttpClient(body))
        with pytest.raises(ExchangeBrokenError):
            trio.run(control.report, "10.0.0.1:80")

    @pytest.mark.parametrize("name", ["pace", "queued", "running", "kv_used"])
    @pytest.mark.parametrize(
        "value", [HUGE_INTEGER, math.nan, math.inf, -1, "x", []], ids=str_of_part
    )
    def test_an_odd_number_in_a_load_report_is_no_report(self, name, value):
        body = json.dumps({name: value}).encode()
        control = HttpEngineControl(lambda _: FixedHttpClient(body))
        with pytest.raises(ExchangeBrokenError):
            trio.run(control.report, "10.0.0.1:80")

    @pytest.mark.parametrize(
        "body",
        [
            *ODD_BYTES,
            b'{"rows":[],"ver":1,"now_ms":1,"more_pages":true}',
            b'{"rows":[{"key":5,"ver":1,"value":""}],"ver":1,"now_ms":1}',
            b'{"rows":[],"ver":1e400,"now_ms":1}',
            b'{"rows":[],"ver":1,"now_ms":NaN}',
        ],
    )
    def test_an_odd_answer_of_the_store_is_none(self, body):
        with pytest.raises(PlatformUnavailableError):
            trio.run(HttpStore(FixedHttpClient(body)).read, "servers")

    @pytest.mark.parametrize("era", [b"", b"x", b"-1", b"1" * 5000, b"4294967296"])
    def test_an_odd_era_of_the_store_is_no_answer(self, era):
        body = b'{"rows":[],"ver":1,"now_ms":1}'
        client = FixedHttpClient(body, [(b"store-era", era)])
        with pytest.raises(PlatformUnavailableError):
            trio.run(HttpStore(client).read, "servers")


class TestHeaders:
    # Guards against numbers that no message between instances can hold.
    def test_a_prompt_larger_than_any_engine_is_still_one(self):
        headers = [(b"x-token-usage", b"9999999999999,1")]
        size = PlatformHeaderCodec().read_request(headers).prompt_size
        assert size.prompt_tokens == 2**31 - 1

    @pytest.mark.parametrize(
        "value", [b"-1,5", b"1" * 5000 + b",1", b"1,2,3", b"nan,1"]
    )
    def test_an_odd_number_of_tokens_counts_as_absent(self, value):
        headers = [(b"x-token-usage", value)]
        assert PlatformHeaderCodec().read_request(headers).prompt_size is None

    @pytest.mark.parametrize("value", [b"inf", b"nan", b"1e400", b"1" * 5000, b"soon"])
    def test_an_odd_deadline_counts_as_absent(self, value):
        headers = [(b"x-deadline-ms", value)]
        assert PlatformHeaderCodec().read_request(headers).deadline_s is None

    @fuzzed
    @hypothesis.given(
        st.dictionaries(
            st.sampled_from([b"x-token-usage", b"x-prompt-prefix", b"x-deadline-ms"]),
            st.binary(max_size=40),
        )
    )
    def test_any_header_of_a_client_is_read(self, headers):
        PlatformHeaderCodec().read_request(list(headers.items()))

    # Guards against an exchange between instances that stops for a request (LOST).
    @in_world(engines=2, plain=0, instances=2)
    async def test_a_huge_prompt_does_not_stop_the_exchange(self, world):
        first, second = world.apps
        await eventually(lambda: first.peers.live() and second.peers.live())
        sock = first.peers._sock
        for usage in ("1460,99999999999", "99999999999,1", "99999999999,99999999999"):
            await world.ask(first, "/stream/x", headers={"X-Token-Usage": usage})
        await trio.sleep(0.1)
        await world.ask(first, "/stream/x")
        assert first.peers._sock is sock
        assert first.peers.outbox.dropped_updates == 0


class TestMessages:
    """Datagrams and snapshots of other instances, at both front doors."""

    @fuzzed
    @hypothesis.given(st.binary(max_size=200))
    @pytest.mark.parametrize(
        "decode", [decode_datagram, decode_snapshot, decode_envelope]
    )
    def test_any_bytes_are_a_message_or_unreadable(self, decode, data):
        with contextlib.suppress(UnreadableInputError):
            decode(data)

    # Guards against the end of the exchange with all instances because of one.
    @in_world(engines=0, plain=1, instances=2)
    async def test_a_message_that_can_not_be_applied_is_counted(self, world):
        first, second = world.apps
        await eventually(lambda: first.peers.live() and second.peers.live())
        sock = first.peers._sock

        def fail(_):
            raise ZeroDivisionError

        first.peers.on_datagram_received = fail
        await eventually(lambda: first.peers.dropped_datagrams > 2)
        assert first.peers._sock is sock

    # Guards against the end of all heartbeats because of what the operator wrote.
    def test_more_evacuated_data_centres_than_fit_are_left_out(self):
        names = tuple(DataCentre(f"{number:0200}") for number in range(400))
        evacuated = EvacuatedDataCentres(StoreVersion(1, 5), names)
        version = StoreVersion(1, 9)
        header = DatagramHeader(
            InstanceId("i1"), 7, "", 1, False, False, version, False
        )
        header = dataclasses.replace(header, evacuated=evacuated)
        received, _ = decode_datagram(encode_datagram(header, []))
        assert received == dataclasses.replace(header, evacuated=NOTHING_EVACUATED)

    # Guards against a load that no engine can be compared with any more.
    @pytest.mark.parametrize("value", [math.nan, math.inf])
    def test_a_job_without_finite_times_is_unreadable(self, value):
        job = Job(
            id=JobId(1),
            origin=InstanceId("i1"),
            endpoint=EndpointId("e0"),
            helpers=(),
            prompt_tokens=1,
            output_tokens=1,
            part_ms=value,
            gap_ms=0.0,
            weight=0.0,
        )
        header = DatagramHeader(
            InstanceId("i1"), 7, "", 1, False, False, StoreVersion(1, 9), False
        )
        with pytest.raises(UnreadableInputError):
            decode_datagram(encode_datagram(header, [JobPlaced(job, 1.0)]))

    # Guards against losing what else was to be sent.
    @in_world(engines=0, plain=1, instances=2)
    async def test_an_update_that_no_message_can_hold_is_left_out(self, world):
        first, second = world.apps
        await eventually(lambda: first.peers.live() and second.peers.live())
        sock = first.peers._sock
        first.peers.outbox.notify_began(2**80)
        first.peers.outbox.notify_slowdown("p0", 3.0)
        now = trio.current_time()
        await eventually(lambda: second.fleet.health.slowdown("p0", now) > 1)
        assert first.peers.outbox.dropped_updates == 1
        assert first.peers._sock is sock


class TestRowsOfInstances:
    # Guards against an instance that stops following the store because of one row.
    @in_world(engines=0, plain=1, instances=1)
    async def test_an_odd_row_is_one_that_has_expired(self, world):
        rows = [b"", b"x", b"\xff\xff", b"10.0.0.1 " + b"9" * 5000, b"a..b 1", b"x 1"]
        for number, value in enumerate(rows):
            world.rows.put("instances", f"odd-{number}", value)
        with recorded_logs() as logs:
            app = await world.add_instance()
            await world.ready(app, 1)
            await eventually(lambda: app.store_sync._registration.has_registered)
            assert not logs.with_message("tasks: control task failed")
        assert not [id for id in app.peers.known_ids() if id.startswith("odd")]
        assert (await world.ask(app, "/safe/x")).status == 200


class TestSettingsFile:
    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ("grace_period_s = 8", "grace_period_s = nan"),
            ("grace_period_s = 8", "grace_period_s = inf"),
            ("[7340, 7355]", "[70000, 70015]"),
            ("[7340, 7355]", "[true, 7355]"),
            ('front = "127.0.0.1:8227"', 'front = "127.0.0.1:82270"'),
            ("a_field_of_tomorrow = { x = 1 }", "x = " + "[" * 4096),
        ],
    )
    def test_an_odd_file_is_refused(self, tmp_path, old, new):
        assert old in SETTINGS
        with pytest.raises(SettingsError):
            read_process_settings(write(tmp_path, SETTINGS.replace(old, new)))

    # Guards against a start that fails, or names that are looked up, for a stale seed.
    def test_an_odd_seed_is_left_out(self, tmp_path):
        text = SETTINGS.replace('["127.0.0.2:8229"]', '["127.0.0.2:8229", "a..b:1"]')
        settings = read_process_settings(write(tmp_path, text))
        assert settings.seed_addresses == ("127.0.0.2:8229",)

    # Guards against the end of the process at SIGHUP.
    @in_world(engines=0, plain=1, instances=1)
    async def test_an_odd_file_at_a_reload_changes_nothing(self, world, tmp_path):
        app = world.apps[0]
        path = write(tmp_path, "x = " + "[" * 4096)
        reload = functools.partial(read_process_settings, path)
        app.env = dataclasses.replace(app.env, reload=reload)
        app.reload()
        assert (await world.ask(app, "/safe/x")).status == 200


class TestProductsOwnFrontDoor:
    """The same rule for what the other front door reads."""

    @pytest.mark.parametrize("body", [b"", b"[]", b"{}", b"\xff", NESTED, BALANCED])
    def test_an_odd_answer_of_the_platform_is_none(self, body):
        with pytest.raises(FoxtailsaddleError):
            trio.run(platform_answering(200, body).get, "ledger", "k")
        with pytest.raises(FoxtailsaddleError):
            trio.run(platform_answering(200, body).instances)

    # Guards against a list of instances that is not followed because of one entry.
    def test_an_odd_instance_is_ignored_and_the_others_hold(self):
        listed = {
            "id": "i2",
            "role": "instance",
            "address": "127.0.0.1:9",
            "data_centre": "",
            "incarnation": "1",
            "leaving": False,
        }
        odd = [{}, 7, None, listed | {"id": HUGE_INTEGER}, listed | {"role": [[]]}]
        body = json.dumps({"instances": [*odd, listed, *odd]}).encode()
        platform = HttpPlatform(FixedClient(200, body), "http://platform")
        assert [item.id for item in trio.run(platform.instances)] == ["i2"]

    # Guards against a traceback in place of what the instance answered.
    @pytest.mark.parametrize("body", [b"[]", b"{}", b'{"detail": 7}', NESTED])
    def test_an_odd_error_of_an_instance_is_told_as_such(self, body):
        client = OperatorClient(FixedClient(500, body), "http://i1", "key")
        with pytest.raises(ExchangeBrokenError):
            trio.run(client.settings)

    @pytest.mark.parametrize("text", [b"\xff\xfe", b"a: [", b"[" * 3000, b"x: {" * 999])
    def test_an_odd_settings_file_is_refused(self, tmp_path, text):
        path = tmp_path / "odd.yaml"
        path.write_bytes(text)
        with pytest.raises(SettingsError):
            read_settings_file(str(path))
