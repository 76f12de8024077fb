"""Datagrams between instances: heartbeats, load updates and grants."""

from ._datagrams import decode_snapshot, encode_snapshot
from ._heard_peers import NO_INSTANCE
from ._messages import (
    ConfigurationChanged,
    GrantReplied,
    GrantRequested,
    ListChanged,
    Snapshot,
)
from ._outbox import limit_update
from ._peer import Peer
from ._peers import Peers

__all__ = [
    "ConfigurationChanged",
    "GrantReplied",
    "GrantRequested",
    "ListChanged",
    "NO_INSTANCE",
    "Peer",
    "Peers",
    "Snapshot",
    "decode_snapshot",
    "encode_snapshot",
    "limit_update",
]
