"""Forwards requests to endpoints; request and response bodies are not changed."""

from ._application import FrontApplication, FrontEnvironment, FrontSettings
from ._error_groups import first_error
from ._exchange import KeepAliveHttpClient
from ._logs import BufferedLogHandler, NullLogWriter, configure_logging

__all__ = [
    "BufferedLogHandler",
    "FrontApplication",
    "FrontEnvironment",
    "FrontSettings",
    "KeepAliveHttpClient",
    "NullLogWriter",
    "first_error",
    "configure_logging",
]
