"""The serve-platform command: an instance on the users' platform."""

import logging
import os

import trio

from .. import forward, platform
from ..errors import FoxtailsaddleError, ProcessSettingsError

METRICS_PORT = 9464  # as deploy/system.toml names it

logger = logging.getLogger("foxtailsaddle.app")


def settings_path(config: str | None) -> str:
    """Return the path of the settings file.

    :raises ProcessSettingsError: neither the argument nor the variable names one.
    """
    path = config or os.environ.get(platform.SETTINGS_VARIABLE)
    if not path:
        raise ProcessSettingsError(f"{platform.SETTINGS_VARIABLE} is not set")
    return path


def serve_platform(config: str | None, log_level: str) -> None:
    """Run one instance until SIGTERM.

    :raises FoxtailsaddleError: the settings file can't be used, or an address
        is taken.
    """
    path = settings_path(config)
    settings = platform.read_process_settings(path)
    log = forward.set_up(settings.instance, log_level)
    app = forward.FrontApplication(_environment(path, settings, log))
    try:
        trio.run(app.run, strict_exception_groups=True)
    except* FoxtailsaddleError as group:
        error = forward.only(group)
    else:
        return
    raise error


def _environment(
    path: str, settings: platform.ProcessSettings, log: forward.BufferedLog
) -> forward.FrontEnvironment:
    bounds = settings.bounds
    front = forward.FrontSettings(
        instance=settings.instance,
        data_centre=settings.data_centre,
        host=settings.host,
        front=settings.front,
        ready=settings.ready,
        control=settings.control,
        seeds=settings.seeds,
        peer_port=settings.peer_port,
        metrics_port=METRICS_PORT,
        grace_s=bounds.grace_s,
        retry_ratio=bounds.retry_ratio,
        retry_window_s=bounds.retry_window_s,
        retry_slack=bounds.retry_slack,
    )
    return forward.FrontEnvironment(
        settings=front,
        wire=platform.PlatformWire(),
        schema=platform.PlatformSchema(),
        desk=platform.EngineDesk(forward.KeptCaller),
        new_store=lambda: platform.HttpStore(forward.KeptCaller(settings.store)),
        log=log,
        reload=lambda: _reload(path),
    )


def _reload(path: str) -> None:
    """Read the settings again; addresses are not changed while running."""
    try:
        platform.read_process_settings(path)
    except ProcessSettingsError as error:
        logger.error("settings: not reloaded", extra={"why": error.message})
