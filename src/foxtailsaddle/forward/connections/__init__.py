"""Connections of clients, and the pages that an instance serves itself."""

from ._connection import ClientConnection, LifecycleStage
from ._internal_pages import Page, serve_pages

__all__ = [
    "ClientConnection",
    "LifecycleStage",
    "Page",
    "serve_pages",
]
