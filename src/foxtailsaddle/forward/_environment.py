"""The settings of an instance, and the adapters that it uses."""

import dataclasses
import typing as t

from ..core import DataCentre, InstanceId
from ..ports import EngineControl, HeaderCodec, Store, StoreSchema


@dataclasses.dataclass(frozen=True, slots=True)
class FrontSettings:
    """Process settings of the application.

    All addresses are ``host:port``.

    :param host: the address of this instance's host, without a port.
    :param front: listening address for clients.
    :param ready: listening address for the load balancer's readiness checks.
    :param control: listening address for other instances, which fetch a snapshot
        there; empty for none.
    :param seeds: addresses of instances to contact at the start.
    :param peer_port: UDP port for datagrams, the same on all instances.
    :param grace_s: seconds from SIGTERM until the process is killed.
    :param retry_ratio: retries that each request adds to the shared retry budget.
    :param retry_window_s: length of the retry budget's sliding window, in seconds.
    :param retry_slack: retries in a window beyond those earned, for all instances.
    :param drain_timeout_s: seconds within which an endpoint that drains stops getting
        new requests.
    :param recovery_timeout_s: seconds after a disruption within which the instance
        must know again what has changed.
    :param configuration_timeout_s: seconds within which a configuration must be in
        force everywhere.
    :param longest_reservation_s: engines refuse to reserve memory for longer.
    :param cold_overshoot: how many times the requests per second that it tolerates a
        cold endpoint may get in a second; ``None`` bounds nothing.
    :param cold_slack: requests that a cold endpoint may get in a second in addition.
    :param shares_room: client accounts have equal shares of the engines' slots, and
        requests of a higher priority go first, while there is too little room.
    :param weighs_distance: another data centre costs what is sent there; else all cost
        the same.
    :param memory_bytes: memory that the process may take, with what it has not read.
    :param max_sockets: sockets that the process may have open.
    """

    instance: InstanceId
    data_centre: DataCentre
    host: str
    front: str
    ready: str
    control: str
    seeds: tuple[str, ...]
    peer_port: int
    metrics_port: int
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    drain_timeout_s: float
    recovery_timeout_s: float
    configuration_timeout_s: float
    longest_reservation_s: float
    cold_overshoot: float | None = None
    cold_slack: float = 0.0
    shares_room: bool = False
    weighs_distance: bool = False
    memory_bytes: int = 200_000_000
    max_sockets: int = 3900


# The other fields of the settings need a restart.
RELOADABLE_FIELDS = frozenset(
    ("seeds", "grace_s", "retry_ratio", "retry_window_s", "retry_slack")
)


class LogWriter(t.Protocol):
    """Writes buffered log lines in the background."""

    async def run(self) -> None:
        """Write until cancelled."""

    def flush_available(self) -> None:
        """Write as many buffered lines as the output takes without blocking."""


@dataclasses.dataclass(frozen=True, slots=True)
class FrontEnvironment:
    """Settings, and the platform adapters that the application uses.

    :param header_codec: reads and writes the platform's headers.
    :param schema: decodes the rows of the platform's store.
    :param engine_control: asks engines for their load and reserves their memory.
    :param new_store: opens a new connection to the platform's store.
    :param reload: reads the settings again on SIGHUP; raises
        :class:`SettingsError` if they are invalid.
    """

    settings: FrontSettings
    header_codec: HeaderCodec
    schema: StoreSchema
    engine_control: EngineControl
    new_store: t.Callable[[], Store]
    log: "LogWriter"
    reload: t.Callable[[], FrontSettings]
    handle_signals: bool = True
