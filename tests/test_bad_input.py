"""Bad input gets a clear error with a code, and loses nothing."""

import json
import subprocess
import sys

import pytest
import yaml

from foxtailsaddle.ports import HttpRequest
from standins.fleet import CALLER_KEY, Fleet, free_ports
from standins.world import World, run_world

SMALL_BODY = 200_000


def post(path: str, body: bytes, key: str = CALLER_KEY, **headers: str) -> dict:
    """Post to an instance of a small world and return status and problem."""
    return ask("POST", path, body, key, **headers)


def ask(
    method: str, path: str, body: bytes = b"", key: str = CALLER_KEY, **headers: str
) -> dict:
    """Ask an instance of a small world; return status and document."""
    found: dict = {}

    async def scenario(world: World) -> None:
        caller = world.caller()
        request = HttpRequest(
            method,
            world.url("i1") + path,
            headers={"authorization": f"Bearer {key}", **headers},
            body=body,
        )
        async with caller._client.exchange(request) as response:
            found["status"] = response.status
            found.update(json.loads(await response.read()))

    tree = {"base": {"max_body_bytes": SMALL_BODY}}
    run_world(scenario, instances=1, engines=1, tree=tree, capacity_tokens=20_000)
    return found


def completion(**changes: object) -> bytes:
    return json.dumps({"model": "drafts", "prompt": "hi", **changes}).encode()


class TestRequests:
    @pytest.mark.parametrize(
        ("body", "status", "code", "words"),
        [
            (b"{", 400, "request_invalid", "no JSON"),
            (b"[]", 400, "request_invalid", "body"),
            (completion(model="nope"), 404, "service_unknown", '"nope"'),
            (completion(prompt=""), 400, "request_invalid", "prompt"),
            (completion(max_tokens=0), 400, "request_invalid", "max_tokens"),
            (completion(max_tokens=10**6), 400, "request_invalid", "4096"),
            (completion(prompt="x" * SMALL_BODY), 413, "body_too_large", "200000"),
            (completion(prompt="x" * 150_000), 413, "prompt_too_large", "20000"),
        ],
    )
    def test_a_bad_completion_is_refused(self, body, status, code, words):
        problem = post("/v1/completions", body)
        assert (problem["status"], problem["code"]) == (status, code)
        assert words in problem["detail"]
        assert problem["verdict"] == "not_run"

    def test_a_wrong_key_is_refused(self):
        problem = post("/v1/completions", completion(), key="wrong")
        assert (problem["status"], problem["code"]) == (401, "unauthorized")

    @pytest.mark.parametrize("text", ["soon", "-1", "nan", "inf"])
    def test_a_bad_allowed_time_is_refused(self, text):
        headers = {"x-allowed-time-s": text}
        problem = post("/v1/completions", completion(), **headers)
        assert problem["code"] == "request_invalid"

    def test_a_call_that_runs_once_needs_a_key(self):
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
    def test_a_wrong_address_is_a_problem_too(self, method, path, status, code):
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

    def test_a_plain_service_is_no_model(self):
        assert ask("GET", "/v1/models/register")["code"] == "not_found"

    def test_a_wrong_key_learns_nothing(self):
        assert ask("GET", "/v1/models", key="wrong")["code"] == "unauthorized"


class TestCommandLine:
    def run(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "foxtailsaddle", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def test_a_missing_file_is_named(self, tmp_path):
        path = str(tmp_path / "none.yaml")
        done = self.run("check", path)
        assert done.returncode == 1
        assert f"settings_invalid: {path}: No such file" in done.stderr

    def test_an_unknown_key_is_named_with_its_path(self, tmp_path):
        settings = Fleet(tmp_path, instances=1).settings("i1")
        settings["tree"]["services"]["drafts"]["colour"] = "red"
        path = tmp_path / "bad.yaml"
        path.write_text(yaml.safe_dump(settings))
        done = self.run("check", str(path))
        assert done.returncode == 1
        assert f"{path}: tree.services.drafts.colour: Extra inputs" in done.stderr

    def test_a_port_in_use_is_named(self, tmp_path):
        with Fleet(tmp_path, instances=1, engines=1, plain_services=0) as fleet:
            settings = fleet.settings("i1")
            operators, peers = free_ports(2)
            settings["instance"]["operators"]["port"] = operators
            settings["instance"]["peers"]["port"] = peers
            path = tmp_path / "second.yaml"
            path.write_text(yaml.safe_dump(settings))
            done = self.run("serve", "--config", str(path))
        port = settings["instance"]["callers"]["port"]
        assert done.returncode == 1
        assert f'address_in_use: address "127.0.0.1:{port}"' in done.stderr

    def test_explain_names_the_level_of_each_value(self, tmp_path):
        settings = Fleet(tmp_path, instances=1).settings("i1")
        settings["tree"]["base"] = {"stall_s": 2}
        account = settings["tree"]["accounts"]["inspector"]
        account["policy"] = {"max_attempts": 2}
        account["services"] = {"drafts": {"allowed_time_s": 9}}
        path = tmp_path / "good.yaml"
        path.write_text(yaml.safe_dump(settings))
        done = self.run("explain", str(path), "inspector", "drafts")
        lines = {line.split()[0]: line.split()[1:] for line in done.stdout.splitlines()}
        assert lines["stall_s"] == ["2.0", "from", "base"]
        assert lines["max_attempts"] == ["2", "from", "client", "account"]
        assert lines["allowed_time_s"] == ["9.0", "from", "service"]
        assert lines["max_concurrent"] == ["1000", "from", "default"]
