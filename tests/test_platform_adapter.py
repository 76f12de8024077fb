"""Tests for the adapter of the users' platform: decoded values and errors."""

import json
import math
import pathlib
import subprocess
import sys

import pytest
import trio

from foxtailsaddle.core import NO_NOTICE, EndpointNotice, EndpointState, RouteKind
from foxtailsaddle.errors import (
    ExchangeBrokenError,
    SettingsError,
    UnreadableInputError,
)
from foxtailsaddle.platform import (
    HttpEngineControl,
    PlatformHeaderCodec,
    PlatformSchema,
    read_process_settings,
)
from foxtailsaddle.ports import Dispatch, HttpReply
from standins.front_world import configuration

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS = """
node_name = "entry-1"
zone = "dc-a"
ip = "127.0.0.1"
internal_port_range = [7340, 7355]
seeds = ["127.0.0.2:8229"]
a_field_of_tomorrow = { x = 1 }
[listen]
front = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
control = "127.0.0.1:8229"
[bounds]
grace_period_s = 8
drain_timeout_ms = 2000
budget_slack = 100
[platform]
address = "127.0.0.9:8223"
"""


def write(tmp_path, text):
    """Write a settings file and return its path."""
    path = tmp_path / "local.toml"
    path.write_text(text, encoding="utf-8")
    return str(path)


class TestSettingsFile:
    def test_a_valid_file_is_read_and_unknown_fields_are_ignored(self, tmp_path):
        settings = read_process_settings(write(tmp_path, SETTINGS))
        assert settings.instance == "entry-1"
        assert settings.data_centre == "dc-a"
        assert settings.peer_port == 7340
        assert settings.bounds.drain_timeout_s == 2.0
        assert settings.bounds.retry_budget_ratio == 0.2

    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ('node_name = "entry-1"', "", "node_name"),
            ('front = "127.0.0.1:8227"', "", "listen.front"),
            ('front = "127.0.0.1:8227"', 'front = "here"', "listen.front"),
            ("grace_period_s = 8", 'grace_period_s = "x"', "bounds.grace_period_s"),
            ("grace_period_s = 8", "grace_period_s = -1", "bounds.grace_period_s"),
            ("[7340, 7355]", '"7340"', "internal_port_range"),
            ('seeds = ["127.0.0.2:8229"]', "seeds = [1]", "seeds"),
            ('address = "127.0.0.9:8223"', "", "platform.address"),
        ],
    )
    def test_an_error_names_the_missing_or_invalid_field(
        self, tmp_path, old, new, path
    ):
        with pytest.raises(SettingsError, match=path):
            read_process_settings(write(tmp_path, SETTINGS.replace(old, new)))

    def test_an_error_names_an_unreadable_file(self, tmp_path):
        with pytest.raises(SettingsError, match="can't be read"):
            read_process_settings(str(tmp_path / "none.toml"))
        with pytest.raises(SettingsError, match="can't be read"):
            read_process_settings(write(tmp_path, "= broken"))

    def test_the_command_exits_with_code_2(self, tmp_path):
        path = write(tmp_path, SETTINGS.replace('zone = "dc-a"', ""))
        result = subprocess.run(
            [sys.executable, "-m", "foxtailsaddle", "check", path],
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 2
        assert "process_settings_invalid" in result.stderr
        assert "zone" in result.stderr

    def test_the_command_shows_the_instance_of_a_valid_file(self, tmp_path):
        result = subprocess.run(
            [sys.executable, "-m", "foxtailsaddle", "check", write(tmp_path, SETTINGS)],
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 0
        assert "entry-1" in result.stdout


class TestConfiguration:
    def test_the_configuration_is_decoded_into_routes(self):
        table = PlatformSchema().decode_configuration(
            json.dumps(configuration(3)).encode()
        )
        route = table.find("calls.example", "/stream/x/y")
        assert table.version == 3
        assert route.kind is RouteKind.STREAM
        assert route.repeatable
        assert route.first_event_target_s == 0.3
        assert table.service_by_id["model"].engine.kv_tokens == 232_000
        assert table.service_by_id["plain"].engine is None
        assert table.account_by_key["key-1"].id == "account-1"
        assert table.limits.body_bytes == 100_000

    def test_a_stream_that_may_not_be_resumed_is_not_repeated(self):
        fields = configuration()
        fields["routes"][0]["resumable"] = False
        table = PlatformSchema().decode_configuration(json.dumps(fields).encode())
        assert not table.find("calls.example", "/stream/x").repeatable

    @pytest.mark.parametrize("broken", [b"", b"[]", b"{}", b'{"version": "x"}'])
    def test_a_malformed_configuration_is_refused(self, broken):
        with pytest.raises(SettingsError):
            PlatformSchema().decode_configuration(broken)


class TestEndpointEntries:
    ENTRY = {
        "service": "model",
        "address": "10.0.0.1:8080",
        "zone": "dc-a",
        "slots": 8,
        "state": "draining",
        "born": 1700000000000,
    }

    def test_valid_entries_are_decoded(self):
        value = json.dumps(self.ENTRY).encode()
        entry = PlatformSchema().decode_endpoint("i-1", value)
        assert entry.state is EndpointState.DRAINING
        assert entry.born_ms == 1700000000000

    @pytest.mark.parametrize(
        "change",
        [{"slots": True}, {"slots": -1}, {"zone": ""}, {"address": "x:99999"}],
    )
    def test_malformed_entries_are_ignored(self, change):
        value = json.dumps(self.ENTRY | change).encode()
        with pytest.raises(UnreadableInputError):
            PlatformSchema().decode_endpoint("i-1", value)


class TestHeaders:
    def test_a_request_is_decoded(self):
        caller = PlatformHeaderCodec().read_request(
            [
                (b"host", b"Calls.Example:80"),
                (b"x-request-id", b"abc"),
                (b"x-deadline-ms", b"2500"),
                (b"authorization", b"token  k1"),
                (b"x-token-usage", b"1460,80"),
                (b"x-length-hint", b"70"),
            ]
        )
        assert caller.host == "calls.example"
        assert caller.deadline_s == 2.5
        assert caller.api_key == "k1"
        assert caller.prompt_size.expected_output_tokens == 70

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            (b"x-deadline-ms", b"soon"),
            (b"x-token-usage", b"many"),
            (b"authorization", b"Bearer k1"),
        ],
    )
    def test_malformed_values_count_as_absent(self, name, value):
        caller = PlatformHeaderCodec().read_request([(b"host", b"h"), (name, value)])
        assert (caller.deadline_s, caller.api_key, caller.prompt_size) == (
            None,
            None,
            None,
        )

    @pytest.mark.parametrize(
        ("value", "parts"),
        [
            (b"5C1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
            (b"5c1e:800, 5c1e:800 ,e440:250", ("5c1e",)),
            (b"5c1e:800", ()),
            (b"", ()),
            (b"5c1e:800,91bd,e440:250", ()),
            (b"5c1e:800,91bd:\xb2,e440:250", ()),
            (b"no id:800,91bd:410,e440:250", ()),
            (b"%s:1,e440:250" % (b"a" * 1000), ()),
        ],
    )
    def test_the_parts_of_a_prompt_but_the_last_are_decoded(self, value, parts):
        headers = [(b"host", b"h"), (b"x-prompt-prefix", value)]
        caller = PlatformHeaderCodec().read_request(headers)
        assert caller.shared_prompt_parts == parts

    # Guards against: a caller's many parts fill the tables of evidence.
    def test_a_bounded_number_of_parts_is_decoded(self):
        value = b",".join(b"%x:1" % number for number in range(1000))
        headers = [(b"host", b"h"), (b"x-prompt-prefix", value)]
        caller = PlatformHeaderCodec().read_request(headers)
        assert len(caller.shared_prompt_parts) == 64

    def test_hop_by_hop_headers_are_not_forwarded(self):
        headers = PlatformHeaderCodec().endpoint_headers(
            [(b"connection", b"close, x-mine"), (b"x-mine", b"1"), (b"x-kept", b"2")],
            Dispatch("i-1", 1.5, None, priority=12),
        )
        names = dict(headers)
        assert b"x-mine" not in names
        assert names[b"x-kept"] == b"2"
        assert names[b"x-deadline-ms"] == b"1500"
        assert names[b"x-request-priority"] == b"9"

    def test_an_answer_that_refuses_the_request_is_recognised(self):
        header_codec = PlatformHeaderCodec()
        assert header_codec.read_response(503, [(b"x-not-executed", b"1")]).refused
        assert header_codec.read_response(421, []).refused
        assert not header_codec.read_response(503, []).refused
        assert not header_codec.read_response(500, []).refused


class TestPlatformPackage:
    def test_no_other_package_contains_the_names_of_the_platform(self):
        platform_names = (
            "X-Server-Seal",
            "x-expect-instance",
            "rows-feed",
            "FOXTAILSADDLE_BOOT",
        )
        sources = (ROOT / "src" / "foxtailsaddle").rglob("*.py")
        sources_outside = [
            path for path in sources if "platform" not in path.parent.name
        ]
        files_with_platform_names = [
            path.name
            for path in sources_outside
            if any(w.lower() in path.read_text("utf-8").lower() for w in platform_names)
        ]
        assert files_with_platform_names == []

    def test_the_package_stays_small(self):
        folder = ROOT / "src" / "foxtailsaddle" / "platform"
        line_count = sum(
            len(path.read_text("utf-8").splitlines())
            for path in folder.iterdir()
            if path.suffix == ".py"
        )
        assert line_count < 900

    def test_an_instance_does_not_import_libraries_it_does_not_use(self):
        libraries = ("opentelemetry", "hypercorn", "starlette", "pydantic", "httpcore")
        code = (
            "import sys, foxtailsaddle.cli._serve_platform; "
            f"print([n for n in {libraries!r} if n in sys.modules])"
        )
        result = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        assert result.stdout.strip() == "[]"


class TestNotices:
    """What endpoints say of themselves beside their responses."""

    @pytest.mark.parametrize(
        ("status", "headers", "notice"),
        [
            (200, [], NO_NOTICE),
            (200, [(b"server-leaving", b"1")], EndpointNotice(is_leaving=True)),
            (503, [(b"server-leaving", b"1")], EndpointNotice(is_leaving=True)),
            (421, [(b"server-leaving", b"1")], NO_NOTICE),
            (503, [(b"retry-after", b"2")], EndpointNotice(pause_s=2.0)),
            (503, [(b"retry-after", b"0.25")], EndpointNotice(pause_s=0.25)),
            (503, [(b"retry-after", b"9" * 400)], EndpointNotice(pause_s=math.inf)),
            (503, [(b"retry-after", b"-2")], NO_NOTICE),
            (503, [(b"retry-after", b"1e9")], NO_NOTICE),
            (503, [(b"retry-after", b"nan")], NO_NOTICE),
            (503, [(b"retry-after", b"")], NO_NOTICE),
            (500, [(b"retry-after", b"2")], NO_NOTICE),
        ],
    )
    def test_are_read_from_the_response(self, status, headers, notice):
        assert PlatformHeaderCodec().read_response(status, headers).notice == notice

    # Guards against losing what an engine says beside an unusable body.
    def test_are_passed_on_whatever_the_body_says(self):
        class Client:
            async def call(self, *_):
                return HttpReply(503, b"busy", [(b"retry-after", b"2")])

            async def aclose(self):
                pass

        notices = []
        control = HttpEngineControl(lambda address: Client())
        control.on_notice = lambda address, notice: notices.append((address, notice))
        with pytest.raises(ExchangeBrokenError):
            trio.run(control.report, "10.0.0.1:80")
        assert not trio.run(control.reserve, "10.0.0.1:80", "t1", 1000, 3.0)
        trio.run(control.release, "10.0.0.1:80", "t1")
        assert notices == [("10.0.0.1:80", EndpointNotice(pause_s=2.0))] * 3
