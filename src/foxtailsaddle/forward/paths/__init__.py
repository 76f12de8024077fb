"""Connections to endpoints, directly or through another instance."""

from ._connector import EndpointConnector
from ._relay_server import RelayServer

__all__ = [
    "EndpointConnector",
    "RelayServer",
]
