"""Libraries behind the ports."""

from ._clock import SystemClock
from ._endpoints_http import HttpModelEndpoints, HttpPlainEndpoints
from ._http_client import HttpcoreClient
from ._listeners import open_listener
from ._operator_client import OperatorClient, RemoteError
from ._peer_links import TcpPeerLinks
from ._platform_http import HttpPlatform
from ._settings_yaml import read_settings_file, read_yaml
from ._telemetry import Metrics, length_class, new_tracer, set_up_logging

__all__ = [
    "HttpModelEndpoints",
    "HttpPlainEndpoints",
    "HttpPlatform",
    "HttpcoreClient",
    "Metrics",
    "OperatorClient",
    "RemoteError",
    "SystemClock",
    "TcpPeerLinks",
    "length_class",
    "new_tracer",
    "open_listener",
    "read_settings_file",
    "read_yaml",
    "set_up_logging",
]
