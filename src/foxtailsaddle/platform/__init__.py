"""Adapter for the users' platform: header names, data formats and HTTP calls.

It only translates; routing and retry decisions are made by its callers.
"""

from ._headers import PlatformHeaderCodec
from ._names import SETTINGS_PATH_VARIABLE
from ._orders import HttpEngineControl
from ._schema import PlatformSchema
from ._settings import DeploymentBounds, ProcessSettings, read_process_settings
from ._store import HttpStore

__all__ = [
    "DeploymentBounds",
    "HttpEngineControl",
    "HttpStore",
    "PlatformSchema",
    "PlatformHeaderCodec",
    "ProcessSettings",
    "SETTINGS_PATH_VARIABLE",
    "read_process_settings",
]
