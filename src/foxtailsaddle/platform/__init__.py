"""Adapter for the users' platform: header names, data formats and HTTP calls.

It only translates; routing and retry decisions are made by its callers.
"""

from ._headers import PlatformHeaderCodec
from ._names import SETTINGS_PATH_VARIABLE
from ._orders import HttpEngineControl
from ._schema import PlatformSchema
from ._settings import DeploymentBounds, ProcessSettings, read_process_settings
from ._store import MAX_STORE_RESPONSE_BYTES, HttpStore

__all__ = [
    "DeploymentBounds",
    "HttpEngineControl",
    "HttpStore",
    "MAX_STORE_RESPONSE_BYTES",
    "PlatformSchema",
    "PlatformHeaderCodec",
    "ProcessSettings",
    "SETTINGS_PATH_VARIABLE",
    "read_process_settings",
]
