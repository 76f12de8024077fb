"""Shared parts of the stand-ins: fault knobs and an HTTP server."""

import dataclasses
import json
import typing as t

import hypercorn.config
import hypercorn.trio
import trio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

FOREVER_S = 1e9


@dataclasses.dataclass
class Knobs:
    """Faults that can be injected into every stand-in.

    :param latency_s: delay added before each call, in seconds.
    :param frozen: connections are accepted but no call is answered.
    :param lost_answers: number of the next calls that take effect without
        being answered.
    """

    latency_s: float = 0.0
    frozen: bool = False
    lost_answers: int = 0

    def update(self, values: dict[str, t.Any]) -> None:
        """Set knobs by name.

        :raises ValueError: a name is not a knob.
        """
        for name, value in values.items():
            if not hasattr(self, name):
                raise ValueError(f'knob "{name}" does not exist')
            setattr(self, name, value)

    async def delay_request(self) -> None:
        """Apply the latency and freeze faults before a call takes effect."""
        if self.latency_s:
            await trio.sleep(self.latency_s)
        while self.frozen:
            await trio.sleep(0.05)

    async def drop_answer(self) -> None:
        """Withhold the answer of a call that took effect, if the knobs say so."""
        if self.lost_answers > 0:
            self.lost_answers -= 1
            await trio.sleep(FOREVER_S)


async def read_json(request: Request) -> t.Any:
    """Return the body decoded from JSON."""
    return json.loads(await request.body())


def knobs_handler(knobs: Knobs) -> t.Callable[[Request], t.Awaitable[Response]]:
    """Return a request handler that sets knobs and returns all their values."""

    async def set_knobs(request: Request) -> Response:
        knobs.update(await read_json(request))
        return JSONResponse(dataclasses.asdict(knobs))

    return set_knobs


def serve(
    app: t.Any, host: str, port: int, *tasks: t.Callable[[], t.Awaitable[None]]
) -> None:
    """Run an ASGI application and its background tasks until stopped."""

    async def main() -> None:
        config = hypercorn.config.Config()
        config.bind = [f"{host}:{port}"]
        config.errorlog = None
        config.keep_alive_timeout = 300
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(task)
            await hypercorn.trio.serve(app, config, mode="asgi")
            nursery.cancel_scope.cancel()

    trio.run(main)
