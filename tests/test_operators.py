"""Tests for the operators' command line against running processes."""

import json
import subprocess
import sys
import time

import pytest

from standins.fleet import OPERATOR_KEY, Fleet, sha256


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    with Fleet(folder, engines=2, instance={"drain_s": 0.2}) as running:
        time.sleep(1)
        yield running


@pytest.fixture
def run(fleet):
    def call(*arguments: str, instance: str = "i1", status: int = 0) -> str:
        command = [sys.executable, "-m", "foxtailsaddle", *arguments]
        command += ["--url", fleet.operator_url(instance), "--key", OPERATOR_KEY]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert result.returncode == status, result.stderr
        return result.stdout + result.stderr

    return call


class TestSettingsCommands:
    def test_a_change_is_in_force_everywhere_when_wait_returns(self, run):
        output = run("settings", "set", "base.stall_s", "2.5", "--wait")
        assert "in force on all live instances" in output
        for instance in ("i1", "i2", "i3"):
            value = run("settings", "get", "base.stall_s", instance=instance)
            assert value.splitlines()[1] == "2.5"

    def test_a_conflict_shows_the_other_change(self, run, tmp_path):
        patch = tmp_path / "patch.yaml"
        patch.write_text("base: {max_attempts: 3}\n")
        base = json.loads(run("settings", "get", "--json"))["revision"]
        run("settings", "apply", str(patch), f"--base={base}", "--change=first")
        output = run(
            "settings", "apply", str(patch), f"--base={base}", "--change=2nd", status=3
        )
        assert "settings_conflict" in output
        assert '"first" by demo' in output

    def test_the_outcome_of_a_change_can_be_queried_after_a_lost_answer(self, run):
        run("settings", "set", "base.max_attempts", "5", "--change=mine")
        assert "accepted as revision" in run("settings", "ask", "mine")
        assert "was not accepted" in run("settings", "ask", "theirs", status=1)

    def test_an_invalid_value_is_refused_with_its_path(self, run):
        output = run("settings", "set", "base.stall_s", "-1", status=1)
        assert "base.stall_s" in output

    def test_history_and_explain_show_where_a_value_is_set(self, run):
        run("settings", "set", "accounts.inspector.policy.max_attempts", "2")
        assert "inspector" in run("settings", "history")
        lines = run("settings", "explain", "inspector", "drafts").splitlines()
        line = next(line for line in lines if line.startswith("max_attempts"))
        assert line.split() == ["max_attempts", "2", "client", "account"]


class TestFleetCommands:
    def withdrawn(self, run) -> bool:
        rows = json.loads(run("endpoints", "list", "--json"))
        return {row["id"]: row for row in rows}["e1"]["withdrawn"]

    def test_accounts_and_services_are_created_and_withdrawn(self, run):
        run("accounts", "create", "insurer", sha256("its key"))
        run("services", "create", "verdicts")
        tree = json.loads(run("settings", "get", "--json"))["value"]
        assert "insurer" in tree["accounts"]
        assert "verdicts" in tree["services"]
        run("accounts", "withdraw", "insurer")
        run("services", "withdraw", "verdicts")
        tree = json.loads(run("settings", "get", "--json"))["value"]
        assert "insurer" not in tree["accounts"]

    def test_endpoints_are_withdrawn_and_restored(self, run):
        run("endpoints", "withdraw", "drafts", "e1", "--wait")
        rows = {
            row["id"]: row for row in json.loads(run("endpoints", "list", "--json"))
        }
        assert rows["e1"]["withdrawn"] is True
        run("endpoints", "restore", "drafts", "e1", "--wait")
        rows = {
            row["id"]: row for row in json.loads(run("endpoints", "list", "--json"))
        }
        assert rows["e1"]["withdrawn"] is False

    def test_instances_are_listed_with_their_revisions(self, run):
        rows = json.loads(run("instances", "list", "--json"))
        assert [row["id"] for row in rows] == ["i1", "i2", "i3"]

    def test_help_lists_the_command_groups(self):
        command = [sys.executable, "-m", "foxtailsaddle", "--help"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
        text = result.stdout + result.stderr
        for group in ("settings", "endpoints", "instances", "ledger", "serve"):
            assert group in text

    def test_a_wrong_key_is_refused(self, fleet):
        command = [sys.executable, "-m", "foxtailsaddle", "instances", "list"]
        command += ["--url", fleet.operator_url("i1"), "--key", "wrong"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert result.returncode == 1
        assert "unauthorized" in result.stderr
