"""The deploy file: it builds in a clean folder, and starts fast and small."""

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

import psutil
import trio

from soak.fleet import SoakFleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_PROCESSOR_S = 1.0
MAX_RESIDENT_BYTES = 70 * 1024 * 1024


class TestDeployFile:
    def test_builds_in_a_clean_folder_and_runs_from_there(self, tmp_path):
        for name in ("src", "deploy", "requirements.txt"):
            source = ROOT / name
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, tmp_path / name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ["HOME"]}
        subprocess.run(
            ["sh", "-c", deploy["build"]], cwd=tmp_path, env=environment, check=True
        )
        environment["PYTHONPATH"] = str(tmp_path / "target" / "deps")
        words = deploy["roles"]["entry"]["run"].split()
        # Without a settings file the role must end with its code, not a fault.
        run = subprocess.run(
            [sys.executable, "-S", *words[1:]],
            cwd=tmp_path,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        assert run.returncode == 2, run.stderr
        assert "process_settings_invalid" in run.stderr

    def test_pins_every_library(self):
        lines = (ROOT / "requirements.txt").read_text().split()
        constraints = (ROOT / "constraints.txt").read_text().split()
        assert all("==" in line for line in lines)
        assert set(lines) <= set(constraints)


class TestStart:
    def test_is_ready_within_a_second_of_processor_and_70_mb(self, tmp_path):
        processor_s, resident = trio.run(_measure, tmp_path)
        assert processor_s < MAX_PROCESSOR_S
        assert resident < MAX_RESIDENT_BYTES


async def _measure(folder):
    fleet = SoakFleet(folder, engines=1, plain=1, instances=1)
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(nursery)
            process = psutil.Process(fleet.processes["i1"].handle.pid)
            times = process.cpu_times()
            return times.user + times.system, process.memory_info().rss
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
