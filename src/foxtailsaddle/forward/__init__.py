"""Forwards requests to endpoints; request and response bodies are not changed."""

from ._application import FrontApplication, FrontEnvironment, FrontSettings
from ._error_groups import only
from ._exchange import KeptCaller
from ._logs import BufferedLog, NoLog, set_up

__all__ = [
    "BufferedLog",
    "FrontApplication",
    "FrontEnvironment",
    "FrontSettings",
    "KeptCaller",
    "NoLog",
    "only",
    "set_up",
]
