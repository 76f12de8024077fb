"""Adapter for the users' platform: header names, data formats and HTTP calls.

It only translates; routing and retry decisions are made by its callers.
"""

from ._headers import PlatformWire
from ._names import SETTINGS_PATH_VARIABLE
from ._orders import EngineDesk
from ._schema import PlatformSchema
from ._settings import DeploymentBounds, ProcessSettings, read_process_settings
from ._store import HttpStore

__all__ = [
    "DeploymentBounds",
    "EngineDesk",
    "HttpStore",
    "PlatformSchema",
    "PlatformWire",
    "ProcessSettings",
    "SETTINGS_PATH_VARIABLE",
    "read_process_settings",
]
