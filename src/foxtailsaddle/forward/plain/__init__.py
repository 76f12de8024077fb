"""Forwards calls to plain services."""

from ._forwarder import PlainForwarder

__all__ = [
    "PlainForwarder",
]
