"""The users' platform: names, formats and calls. Nothing here decides."""

from ._headers import PlatformWire
from ._names import SETTINGS_VARIABLE
from ._orders import EngineDesk
from ._schema import PlatformSchema
from ._settings import Bounds, ProcessSettings, read_process_settings
from ._store import HttpStore

__all__ = [
    "Bounds",
    "EngineDesk",
    "HttpStore",
    "PlatformSchema",
    "PlatformWire",
    "ProcessSettings",
    "SETTINGS_VARIABLE",
    "read_process_settings",
]
