"""Keeps this instance in sync with the platform's store."""

from ._snapshots import SNAPSHOT_PATH
from ._sync import StoreSync

__all__ = [
    "SNAPSHOT_PATH",
    "StoreSync",
]
