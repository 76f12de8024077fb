"""The application: its life cycle and the tasks that own sockets and state."""

from ._application import Application
from ._attempts import ModelCall
from ._environment import Environment, new_incarnation
from ._settings_keeper import Change

__all__ = ["Application", "Change", "Environment", "ModelCall", "new_incarnation"]
