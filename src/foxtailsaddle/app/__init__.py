"""The application layer: life cycle, request paths, peer and operator interfaces."""

from ._application import Application
from ._attempts import ModelCall
from ._environment import Environment, new_incarnation
from ._settings_manager import Change

__all__ = ["Application", "Change", "Environment", "ModelCall", "new_incarnation"]
