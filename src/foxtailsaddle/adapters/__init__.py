"""Implementations of the ports over trio, httpcore, hypercorn and Cap'n Proto."""

from ._client_rooms import ClientRooms, divide_room
from ._clock import SystemClock
from ._endpoints_http import HttpModelEndpoints, HttpPlainEndpoints
from ._http_client import HttpcoreClient
from ._operator_client import OperatorClient, RemoteError
from ._peer_links import TcpPeerLinks
from ._platform_http import HttpPlatform
from ._settings_yaml import read_settings_file, read_yaml
from ._telemetry import Metrics, new_tracer, set_up_logging
from ._web_server import HypercornServer

__all__ = [
    "ClientRooms",
    "HttpModelEndpoints",
    "HttpPlainEndpoints",
    "HttpPlatform",
    "HttpcoreClient",
    "HypercornServer",
    "Metrics",
    "OperatorClient",
    "RemoteError",
    "SystemClock",
    "TcpPeerLinks",
    "divide_room",
    "new_tracer",
    "read_settings_file",
    "read_yaml",
    "set_up_logging",
]
