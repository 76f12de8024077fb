"""Starts foxtailsaddle from a checkout, with its dependencies in target/deps."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from foxtailsaddle.cli import main  # noqa: E402

main()
