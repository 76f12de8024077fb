"""Runs the command line for ``python -m foxtailsaddle``."""

from .cli import main

if __name__ == "__main__":
    main()
