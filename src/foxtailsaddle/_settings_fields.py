"""Reads typed fields of a settings file."""

import typing as t

from ._input_readers import read_int, read_number, read_optional
from .core import MAX_PORT, parse_address
from .errors import ProcessSettingsError, UnreadableInputError


class SettingsFieldReader:
    """Reads typed fields of the settings file by dotted path."""

    def __init__(self, file: str, fields: dict[str, t.Any]) -> None:
        self._file = file
        self._fields = fields

    def _lookup(self, path: str) -> t.Any:
        value: t.Any = self._fields
        for name in path.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(name)
        return value

    def _error(self, path: str, reason: str) -> ProcessSettingsError:
        return ProcessSettingsError(f"{self._file}: {path}: {reason}")

    def string(self, path: str) -> str:
        value = self._lookup(path)
        if value is None:
            raise self._error(path, "missing")
        if not isinstance(value, str) or not value:
            raise self._error(path, f"not a non-empty string: {value!r}")
        return value

    def strings(self, path: str) -> list[str]:
        value = self._lookup(path) or []
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self._error(path, f"not a list of strings: {value!r}")
        return value

    def addresses(self, path: str) -> list[str]:
        """Return the addresses in a list; those that can't be used are left out."""
        values = self.strings(path)
        return [value for value in values if read_optional(parse_address, value)]

    def optional_number(self, path: str) -> float | None:
        if self._lookup(path) is None:
            return None
        return self.number(path, default=0)

    def number(self, path: str, default: float) -> float:
        value = self._lookup(path)
        if value is None:
            return default
        try:
            return read_number(value)
        except UnreadableInputError as error:
            raise self._error(path, error.message) from None

    def address(self, path: str, default: str | None = None) -> str:
        if self._lookup(path) is None and default is not None:
            return default
        value = self.string(path)
        try:
            parse_address(value)
        except UnreadableInputError as error:
            raise self._error(path, error.message) from None
        return value

    def first_port(self, path: str) -> int:
        value = self._lookup(path)
        if not isinstance(value, list) or not value:
            raise self._error(path, "not a port range of the form [first, last]")
        try:
            return read_int(value[0], low=1, high=MAX_PORT)
        except UnreadableInputError as error:
            raise self._error(path, error.message) from None
