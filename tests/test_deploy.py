"""Tests for the deploy file: clean build, CPU time and memory of the start."""

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
MAX_CPU_TIME_S = 1.0
MAX_RESIDENT_BYTES = 70 * 1024 * 1024


class TestDeployFile:
    def test_the_product_builds_and_runs_in_a_clean_folder(self, tmp_path):
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
        arguments = deploy["roles"]["entry"]["run"].split()
        # Without a settings file the role exits with its own error, not a traceback.
        run = subprocess.run(
            [sys.executable, "-S", *arguments[1:]],
            cwd=tmp_path,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        assert run.returncode == 2, run.stderr
        assert "process_settings_invalid" in run.stderr

    def test_requirements_pin_every_library(self):
        lines = (ROOT / "requirements.txt").read_text().split()
        constraints = (ROOT / "constraints.txt").read_text().split()
        assert all("==" in line for line in lines)
        assert set(lines) <= set(constraints)


class TestStart:
    def test_an_instance_starts_with_one_second_of_cpu_time_and_70_mb(self, tmp_path):
        cpu_time_s, resident_bytes = trio.run(_measure_start, tmp_path)
        assert cpu_time_s < MAX_CPU_TIME_S
        assert resident_bytes < MAX_RESIDENT_BYTES


async def _measure_start(folder):
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
