"""Tests that the documentation matches the code and lists the current settings."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


class TestDocs:
    def test_docs_check_passes(self):
        command = [sys.executable, str(ROOT / "docs" / "generate.py"), "--check"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert result.returncode == 0, result.stderr
