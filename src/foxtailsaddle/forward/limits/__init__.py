"""Keeps requests to the limits of endpoints, over all instances."""

from ._gate import LimitGate

__all__ = [
    "LimitGate",
]
