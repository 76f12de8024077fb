"""The settings file that the platform writes for each process."""

import dataclasses
import pathlib
import tomllib
import typing as t

from ..core import DataCentre, InstanceId
from ..errors import ProcessSettingsError


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and ratios that the deployment promises.

    :param drain_s: a leaving endpoint gets no new work later than this.
    :param grace_s: from SIGTERM to SIGKILL.
    """

    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    hold_max_ms: int = 0
    idle_max_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What a process learns of itself and its surroundings.

    :param front: address for callers, ``host:port``.
    :param ready: address that the balancer asks for readiness.
    :param control: address for other instances, empty when not served.
    :param seeds: control addresses of other instances; they may be stale.
    :param peer_port: port for datagrams between instances.
    """

    instance: InstanceId
    data_centre: DataCentre
    host: str
    front: str
    ready: str
    control: str
    seeds: tuple[str, ...]
    peer_port: int
    store: str
    max_files: int
    bounds: Bounds


def read_process_settings(path: str) -> ProcessSettings:
    """Read the platform's settings file; unknown fields are ignored.

    :raises ProcessSettingsError: names the field that is missing or wrong.
    """
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ProcessSettingsError(
            f'settings file "{path}" can\'t be read: {error}'
        ) from None
    reader = _Reader(path, fields)
    return ProcessSettings(
        instance=InstanceId(reader.text("node_name")),
        data_centre=DataCentre(reader.text("zone")),
        host=reader.text("ip"),
        front=reader.address("listen.front"),
        ready=reader.address("listen.ready"),
        control=reader.address("listen.control", default=""),
        seeds=tuple(reader.texts("seeds")),
        peer_port=reader.port("internal_port_range"),
        store=reader.address("platform.address"),
        max_files=int(reader.number("limits.max_open_files", default=1024)),
        bounds=_bounds(reader),
    )


def _bounds(reader: "_Reader") -> Bounds:
    return Bounds(
        drain_s=reader.number("bounds.drain_timeout_ms", default=2000) / 1000,
        grace_s=reader.number("bounds.grace_period_s", default=8),
        retry_ratio=reader.number("bounds.retry_budget_ratio", default=0.2),
        retry_window_s=reader.number("bounds.budget_window_s", default=10),
        retry_slack=reader.number("bounds.budget_slack", default=0),
        hold_max_ms=int(reader.number("bounds.hold_max_ms", default=0)),
        idle_max_ms=int(reader.number("bounds.idle_max_ms", default=0)),
    )


class _Reader:
    """Reads typed fields by dotted path."""

    def __init__(self, file: str, fields: dict[str, t.Any]) -> None:
        self._file = file
        self._fields = fields

    def _find(self, path: str) -> t.Any:
        value: t.Any = self._fields
        for name in path.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(name)
        return value

    def _wrong(self, path: str, reason: str) -> ProcessSettingsError:
        return ProcessSettingsError(f"{self._file}: {path}: {reason}")

    def text(self, path: str) -> str:
        value = self._find(path)
        if value is None:
            raise self._wrong(path, "missing")
        if not isinstance(value, str) or not value:
            raise self._wrong(path, f"not a text: {value!r}")
        return value

    def texts(self, path: str) -> list[str]:
        value = self._find(path) or []
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self._wrong(path, f"not a list of texts: {value!r}")
        return value

    def number(self, path: str, default: float) -> float:
        value = self._find(path)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self._wrong(path, f"not a number from 0 up: {value!r}")
        return value

    def address(self, path: str, default: str | None = None) -> str:
        if self._find(path) is None and default is not None:
            return default
        value = self.text(path)
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal():
            raise self._wrong(path, f"not host:port: {value!r}")
        return value

    def port(self, path: str) -> int:
        value = self._find(path)
        if not isinstance(value, list) or not value or not isinstance(value[0], int):
            raise self._wrong(path, f"not a range of ports: {value!r}")
        return value[0]
