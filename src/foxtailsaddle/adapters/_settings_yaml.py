"""Reads settings from YAML files."""

import pathlib
import typing as t

import yaml

from .._input_readers import reading
from ..core import SettingsFile, read_model
from ..errors import SettingsError


def read_yaml(path: str) -> t.Any:
    """Return the data of a YAML file.

    :raises SettingsError: the file is missing or is not valid YAML.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    with reading(path, SettingsError):
        return yaml.safe_load(text)


def read_settings_file(path: str) -> SettingsFile:
    """Return the validated settings of one file.

    :raises SettingsError: names the file, the path in it and the reason.
    """
    return read_model(SettingsFile, read_yaml(path), path)
