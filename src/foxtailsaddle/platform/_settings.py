"""The settings file that the platform writes for each process."""

import dataclasses
import pathlib
import tomllib

from .._input_readers import reading
from .._settings_fields import SettingsFieldReader
from ..core import DataCentre, InstanceId
from ..errors import ProcessSettingsError
from . import _names as names


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """Times and retry limits that the deployment sets for each process.

    :param drain_timeout_s: seconds until a leaving endpoint gets no new requests.
    :param recovery_timeout_s: seconds after a disruption until what changed is known.
    :param configuration_timeout_s: seconds until a configuration holds everywhere.
    :param grace_period_s: time from SIGTERM to SIGKILL, in seconds.
    :param retry_budget_ratio: retries allowed per request.
    :param retry_budget_window_s: length of the sliding window of both, in seconds.
    :param retry_budget_slack: retries in a window in addition, of all instances.
    :param longest_reservation_s: engines reserve memory for no more seconds.
    :param cold_overshoot: how many times the requests per second that it tolerates a
        cold endpoint may get in a second; ``None`` if the deployment sets no bound.
    :param cold_slack: requests that a cold endpoint may get in a second in addition.
    """

    drain_timeout_s: float
    recovery_timeout_s: float
    configuration_timeout_s: float
    grace_period_s: float
    retry_budget_ratio: float
    retry_budget_window_s: float
    retry_budget_slack: float
    longest_reservation_s: float
    cold_overshoot: float | None
    cold_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Identity, addresses and limits of one process.

    Addresses are ``host:port``.

    :param front_address: where callers connect.
    :param ready_address: where the load balancer checks readiness.
    :param control_address: where other instances connect; empty if not served.
    :param seed_addresses: control addresses of other instances, to contact first; may
        be stale.
    :param peer_port: UDP port for datagrams between instances.
    :param store_address: where the platform's store listens.
    :param shares_room: the deployment has client accounts that compete for room.
    :param memory_mb: memory that the process may take; ``None`` if it is not said.
    :param max_open_files: files and sockets that it may have open, likewise.
    """

    instance: InstanceId
    data_centre: DataCentre
    host: str
    front_address: str
    ready_address: str
    control_address: str
    seed_addresses: tuple[str, ...]
    peer_port: int
    store_address: str
    shares_room: bool
    memory_mb: float | None
    max_open_files: float | None
    bounds: DeploymentBounds


def read_process_settings(path: str) -> ProcessSettings:
    """Read the platform's settings file; unknown fields are ignored.

    :raises ProcessSettingsError: names the field that is missing or wrong.
    """
    with reading(f'settings file "{path}"', ProcessSettingsError):
        fields = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return _process_settings(SettingsFieldReader(path, fields))


def _process_settings(reader: SettingsFieldReader) -> ProcessSettings:
    return ProcessSettings(
        instance=InstanceId(reader.string("node_name")),
        data_centre=DataCentre(reader.string("zone")),
        host=reader.string("ip"),
        front_address=reader.address("listen.front"),
        ready_address=reader.address("listen.ready"),
        control_address=reader.address("listen.control", default=""),
        seed_addresses=tuple(reader.addresses("seeds")),
        peer_port=reader.first_port("internal_port_range"),
        store_address=reader.address("platform.address"),
        shares_room=names.POOL_CONTRACT in reader.strings("contracts"),
        memory_mb=reader.optional_number("limits.memory_mb"),
        max_open_files=reader.optional_number("limits.max_open_files"),
        bounds=_bounds(reader),
    )


def _bounds(reader: SettingsFieldReader) -> DeploymentBounds:
    return DeploymentBounds(
        drain_timeout_s=reader.number("bounds.drain_timeout_ms", default=2000) / 1000,
        recovery_timeout_s=reader.number("bounds.touch_ms", default=3000) / 1000,
        configuration_timeout_s=reader.number("bounds.config_apply_ms", default=2000)
        / 1000,
        grace_period_s=reader.number("bounds.grace_period_s", default=8),
        retry_budget_ratio=reader.number("bounds.retry_budget_ratio", default=0.2),
        retry_budget_window_s=reader.number("bounds.budget_window_s", default=10),
        retry_budget_slack=reader.number("bounds.budget_slack", default=0),
        longest_reservation_s=reader.number("bounds.hold_max_ms", default=20_000)
        / 1000,
        cold_overshoot=reader.optional_number("bounds.cold_overshoot"),
        cold_slack=reader.number("bounds.cold_slack", default=0),
    )
