"""Sockets and HTTP/1.1 exchanges with endpoints, the store and other instances."""

from ._error_groups import first_error, unwrap_error_group
from ._exchange import Exchange, KeepAliveHttpClient
from ._relay_frames import RelayedSocket, RelayedUpload, copy_frames
from ._sockets import (
    RECEIVE_BYTES,
    Connect,
    Connection,
    accept,
    connect,
    discard_until_closed,
    has_hung_up,
    listen,
    reset_on_close,
    send_all,
    set_client_tcp_options,
    set_tcp_options,
)

__all__ = [
    "Connect",
    "Connection",
    "Exchange",
    "KeepAliveHttpClient",
    "RECEIVE_BYTES",
    "RelayedSocket",
    "RelayedUpload",
    "accept",
    "connect",
    "copy_frames",
    "discard_until_closed",
    "first_error",
    "has_hung_up",
    "listen",
    "reset_on_close",
    "send_all",
    "set_client_tcp_options",
    "set_tcp_options",
    "unwrap_error_group",
]
