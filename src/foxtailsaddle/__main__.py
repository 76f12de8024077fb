"""Runs the command line with ``python -m foxtailsaddle``."""

from .cli import main

if __name__ == "__main__":
    main()
