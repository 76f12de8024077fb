"""The serve-platform command: runs one instance on the users' platform."""

import os

import trio

from .. import forward, platform
from ..errors import FoxtailsaddleError, ProcessSettingsError

METRICS_PORT = 9464  # must match the port in deploy/system.toml
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_OPEN_FILES = 4100
BYTES_PER_MB = 1_000_000
RESERVED_DESCRIPTORS = 200  # for files
MIN_SOCKETS = 64


def settings_path(config: str | None) -> str:
    """Return the path of the settings file.

    :param config: path given on the command line; ``None`` uses the environment
        variable.
    :raises ProcessSettingsError: no path is given and the environment variable
        is not set.
    """
    path = config or os.environ.get(platform.SETTINGS_PATH_VARIABLE)
    if not path:
        raise ProcessSettingsError(f"{platform.SETTINGS_PATH_VARIABLE} is not set")
    return path


def serve_platform(config: str | None, log_level: str) -> None:
    """Run one instance until SIGTERM.

    :raises FoxtailsaddleError: the settings file is invalid, or an address is
        already in use.
    """
    path = settings_path(config)
    settings = platform.read_process_settings(path)
    log = forward.configure_logging(settings.instance, log_level)
    app = forward.FrontApplication(_environment(path, settings, log))
    try:
        trio.run(app.run, strict_exception_groups=True)
    except* FoxtailsaddleError as group:
        error = forward.first_error(group)
    else:
        return
    raise error


def _environment(
    path: str, settings: platform.ProcessSettings, log: forward.BufferedLogHandler
) -> forward.FrontEnvironment:
    return forward.FrontEnvironment(
        settings=_front_settings(settings),
        header_codec=platform.PlatformHeaderCodec(),
        schema=platform.PlatformSchema(),
        engine_control=platform.HttpEngineControl(forward.KeepAliveHttpClient),
        new_store=lambda: platform.HttpStore(
            forward.KeepAliveHttpClient(
                settings.store_address, platform.MAX_STORE_RESPONSE_BYTES
            )
        ),
        log=log,
        reload=lambda: _front_settings(platform.read_process_settings(path)),
    )


def _front_settings(settings: platform.ProcessSettings) -> forward.FrontSettings:
    bounds = settings.bounds
    return forward.FrontSettings(
        instance=settings.instance,
        data_centre=settings.data_centre,
        host=settings.host,
        front=settings.front_address,
        ready=settings.ready_address,
        control=settings.control_address,
        seeds=settings.seed_addresses,
        peer_port=settings.peer_port,
        metrics_port=METRICS_PORT,
        grace_s=bounds.grace_period_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.retry_budget_window_s,
        retry_slack=bounds.retry_budget_slack,
        drain_timeout_s=bounds.drain_timeout_s,
        recovery_timeout_s=bounds.recovery_timeout_s,
        configuration_timeout_s=bounds.configuration_timeout_s,
        longest_reservation_s=bounds.longest_reservation_s,
        cold_overshoot=bounds.cold_overshoot,
        cold_slack=bounds.cold_slack,
        shares_room=settings.shares_room,
        weighs_distance=settings.shares_room,
        memory_bytes=int((settings.memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB),
        max_sockets=_max_sockets(settings.max_open_files or DEFAULT_MAX_OPEN_FILES),
    )


def _max_sockets(max_open_files: float) -> int:
    return max(MIN_SOCKETS, int(max_open_files) - RESERVED_DESCRIPTORS)
