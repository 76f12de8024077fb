"""The serve command: builds the adapters and runs the application with them."""

import random
import signal

import trio

from .. import adapters
from .._client_room import ClientRoom, client_bytes
from ..app import Application, Environment, new_incarnation
from ..core import InstanceSettings, SettingsFile
from ..errors import FoxtailsaddleError

BYTES_PER_MB = 1_000_000


def serve(config: str, log_level: str) -> None:
    """Run one entry instance until SIGTERM or SIGINT.

    :raises FoxtailsaddleError: the settings are invalid, or an address is already
        in use.
    """
    settings_file = adapters.read_settings_file(config)
    adapters.set_up_logging(log_level, settings_file.instance.id)
    try:
        trio.run(_run, settings_file, strict_exception_groups=True)
    except* FoxtailsaddleError as group:
        # Nurseries nest their exception groups; the caller expects a single error.
        first_error: BaseException = group
        while isinstance(first_error, BaseExceptionGroup):
            first_error = first_error.exceptions[0]
        error = first_error
    else:
        return
    raise error


async def _run(settings_file: SettingsFile) -> None:
    env = _environment(settings_file)
    tree = settings_file.tree.model_dump(
        mode="json", exclude_defaults=True, exclude_none=True
    )
    app = Application(env, tree)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain_on_signal, app)
        await app.run()
        nursery.cancel_scope.cancel()


async def _drain_on_signal(app: Application) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            app.drain()


def _environment(settings_file: SettingsFile) -> Environment:
    settings = settings_file.instance
    clock = adapters.SystemClock()
    rng = random.Random()
    client = adapters.HttpcoreClient()
    rooms = adapters.divide_room(
        client_bytes(settings.memory_mb * BYTES_PER_MB), settings.max_connections
    )
    return Environment(
        settings=settings,
        incarnation=new_incarnation(clock.wall_ms(), rng),
        clock=clock,
        platform=adapters.HttpPlatform(client, settings.platform_url),
        models=adapters.HttpModelEndpoints(client),
        plain=adapters.HttpPlainEndpoints(client),
        links=adapters.TcpPeerLinks(settings.id, settings.peers, rooms.peers),
        web=_web_server(settings, rooms.callers),
        operator_web=_web_server(settings, rooms.operators),
        metrics=adapters.Metrics(rooms.by_address()),
        tracer=adapters.new_tracer(settings.id, settings.trace_otlp_url),
        random=rng,
    )


def _web_server(
    settings: InstanceSettings, room: ClientRoom
) -> adapters.HypercornServer:
    return adapters.HypercornServer(
        settings.max_requests, settings.slow_caller_s, settings.head_timeout_s, room
    )
