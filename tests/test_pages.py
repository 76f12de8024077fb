"""The pages name only what exists, and their settings are current."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


class TestPages:
    def test_docs_check_passes(self):
        command = [sys.executable, str(ROOT / "docs" / "generate.py"), "--check"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert done.returncode == 0, done.stderr
