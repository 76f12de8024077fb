"""Forwards requests to endpoints; request and response bodies are not changed."""

from ._application import FrontApplication
from ._environment import FrontEnvironment, FrontSettings
from ._logs import BufferedLogHandler, NullLogWriter, configure_logging
from .transport import KeepAliveHttpClient, first_error

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
