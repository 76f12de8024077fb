"""Tests that invalid input gets a clear error with a code and has no effect."""

import json
import subprocess
import sys

import pytest
import yaml

from foxtailsaddle.ports import HttpRequest
from standins.fleet import CALLER_KEY, Fleet
from standins.ports import PortReservation
from standins.world import World, run_world

MAX_BODY_BYTES = 200_000


def post(path: str, body: bytes, key: str = CALLER_KEY, **headers: str) -> dict:
    """Post to an instance of a small world and return its problem document."""
    return ask("POST", path, body, key, **headers)


def ask(
    method: str, path: str, body: bytes = b"", key: str = CALLER_KEY, **headers: str
) -> dict:
    """Send a request to an instance of a small world.

    :returns: the fields of the JSON answer, and the HTTP status as ``status``.
    """
    answer: dict = {}

    async def scenario(world: World) -> None:
        caller = world.caller()
        request = HttpRequest(
            method,
            world.url("i1") + path,
            headers={"authorization": f"Bearer {key}", **headers},
            body=body,
        )
        async with caller._client.exchange(request) as response:
            answer["status"] = response.status
            answer.update(json.loads(await response.read()))

    tree = {"base": {"max_body_bytes": MAX_BODY_BYTES}}
    run_world(scenario, instances=1, engines=1, tree=tree, capacity_tokens=20_000)
    return answer


def completion_body(**changes: object) -> bytes:
    """Return the body of a valid completion request with some fields changed."""
    return json.dumps({"model": "drafts", "prompt": "hi", **changes}).encode()


class TestRequests:
    @pytest.mark.parametrize(
        ("body", "status", "code", "words"),
        [
            (b"{", 400, "request_invalid", "no JSON"),
            (b"[]", 400, "request_invalid", "body"),
            (completion_body(model="nope"), 404, "service_unknown", '"nope"'),
            (completion_body(prompt=""), 400, "request_invalid", "prompt"),
            (completion_body(max_tokens=0), 400, "request_invalid", "max_tokens"),
            (completion_body(max_tokens=10**6), 400, "request_invalid", "4096"),
            (
                completion_body(prompt="x" * MAX_BODY_BYTES),
                413,
                "body_too_large",
                "200000",
            ),
            (completion_body(prompt="x" * 150_000), 413, "prompt_too_large", "20000"),
        ],
    )
    def test_an_invalid_completion_is_refused(self, body, status, code, words):
        problem = post("/v1/completions", body)
        assert (problem["status"], problem["code"]) == (status, code)
        assert words in problem["detail"]
        assert problem["verdict"] == "not_run"

    def test_a_wrong_key_is_refused(self):
        problem = post("/v1/completions", completion_body(), key="wrong")
        assert (problem["status"], problem["code"]) == (401, "unauthorized")

    @pytest.mark.parametrize("text", ["soon", "-1", "nan", "inf"])
    def test_an_invalid_allowed_time_is_refused(self, text):
        headers = {"x-allowed-time-s": text}
        problem = post("/v1/completions", completion_body(), **headers)
        assert problem["code"] == "request_invalid"

    def test_a_call_that_runs_once_needs_an_idempotency_key(self):
        problem = post("/v1/services/register/sign", b"{}")
        assert problem["code"] == "request_invalid"
        assert "Idempotency-Key" in problem["detail"]

    @pytest.mark.parametrize(
        ("method", "path", "status", "code"),
        [
            ("GET", "/v1/nothing", 404, "not_found"),
            ("GET", "/v1/completions", 405, "method_not_allowed"),
            ("GET", "/v1/models/nope", 404, "not_found"),
        ],
    )
    def test_an_unknown_path_or_method_gets_a_problem_document(
        self, method, path, status, code
    ):
        problem = ask(method, path)
        assert (problem["status"], problem["code"]) == (status, code)
        assert problem["verdict"] == "not_run"


class TestModels:
    def test_all_models_are_listed(self):
        page = ask("GET", "/v1/models")
        assert page["object"] == "list"
        assert [entry["id"] for entry in page["data"]] == ["drafts"]

    def test_one_model_is_found_by_its_name(self):
        assert ask("GET", "/v1/models/drafts")["object"] == "model"

    def test_a_plain_service_is_not_a_model(self):
        assert ask("GET", "/v1/models/register")["code"] == "not_found"

    def test_a_wrong_key_is_unauthorized(self):
        assert ask("GET", "/v1/models", key="wrong")["code"] == "unauthorized"


class TestCommandLine:
    def run(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "foxtailsaddle", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def test_a_missing_file_is_named(self, tmp_path):
        path = str(tmp_path / "none.yaml")
        result = self.run("check", path)
        assert result.returncode == 1
        assert f"settings_invalid: {path}: No such file" in result.stderr

    def test_an_unknown_key_is_named_with_its_path(self, tmp_path):
        settings = Fleet(tmp_path, instances=1).settings("i1")
        settings["tree"]["services"]["drafts"]["colour"] = "red"
        path = tmp_path / "bad.yaml"
        path.write_text(yaml.safe_dump(settings))
        result = self.run("check", str(path))
        assert result.returncode == 1
        assert f"{path}: tree.services.drafts.colour: Extra inputs" in result.stderr

    def test_a_port_in_use_is_named(self, tmp_path):
        with Fleet(tmp_path, instances=1, engines=1, plain_services=0) as fleet:
            settings = fleet.settings("i1")
            with PortReservation(2) as reservation:
                operators, peers = reservation.ports
                settings["instance"]["operators"]["port"] = operators
                settings["instance"]["peers"]["port"] = peers
                path = tmp_path / "second.yaml"
                path.write_text(yaml.safe_dump(settings))
                result = self.run("serve", "--config", str(path))
        port = settings["instance"]["callers"]["port"]
        assert result.returncode == 1
        assert f'address_in_use: address "127.0.0.1:{port}"' in result.stderr

    def test_explain_names_the_level_of_each_value(self, tmp_path):
        settings = Fleet(tmp_path, instances=1).settings("i1")
        settings["tree"]["base"] = {"stall_s": 2}
        account = settings["tree"]["accounts"]["inspector"]
        account["policy"] = {"max_attempts": 2}
        account["services"] = {"drafts": {"allowed_time_s": 9}}
        path = tmp_path / "good.yaml"
        path.write_text(yaml.safe_dump(settings))
        result = self.run("explain", str(path), "inspector", "drafts")
        lines = {
            line.split()[0]: line.split()[1:] for line in result.stdout.splitlines()
        }
        assert lines["stall_s"] == ["2.0", "from", "base"]
        assert lines["max_attempts"] == ["2", "from", "client", "account"]
        assert lines["allowed_time_s"] == ["9.0", "from", "service"]
        assert lines["max_concurrent"] == ["1000", "from", "default"]
