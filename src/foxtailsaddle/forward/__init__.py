"""Forwards callers' requests to endpoints without changing a byte of them."""

from ._application import FrontApplication, FrontEnvironment, FrontSettings
from ._exchange import KeptCaller
from ._logs import BufferedLog, NoLog, set_up
from ._nursery import only

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
