"""The platform store and runners as processes that tests control over HTTP."""

import dataclasses
import json
import typing as t

import fire
import trio

from .rows import RowStore
from .runner import Fault, Runner
from .wire import WireConnection, WireRequest, WireServer


class ControllableStore:
    """The store.

    ``PUT`` ``/put``, ``/drop``, ``/knobs``, ``/forget`` or ``/restore`` changes it.
    """

    def __init__(self) -> None:
        self.rows = RowStore()

    async def handle(self, connection: WireConnection, request: WireRequest) -> bool:
        """Answer one call."""
        if request.method != "PUT":
            return await self.rows.handle(connection, request)
        fields = request.json()
        if request.path == "/put":
            self.rows.put(fields["table"], fields["key"], fields["value"])
        elif request.path == "/drop":
            self.rows.delete(fields["table"], fields["key"])
        elif request.path == "/knobs":
            self.rows.knobs = dataclasses.replace(self.rows.knobs, **fields)
        elif request.path == "/forget":
            self.rows.forget_history()
        elif request.path == "/restore":
            self.rows.restore(fields["seconds_back"])
        return await connection.answer(200, b"{}")


class ControllableRunner:
    """A runner, controlled with ``PUT /fault`` and ``PUT /events``.

    ``GET /book`` returns the requests that it received and ran.
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner

    async def handle(self, connection: WireConnection, request: WireRequest) -> bool:
        """Answer one call."""
        if request.path == "/book":
            return await connection.answer(200, json.dumps(self._history()).encode())
        if request.path == "/fault" and request.method == "PUT":
            self.runner.faults = [Fault(name) for name in request.json()]
            return await connection.answer(200, b"{}")
        if request.path == "/events" and request.method == "PUT":
            self.runner.events = request.json()
            return await connection.answer(200, b"{}")
        return await self.runner.handle(connection, request)

    def _history(self) -> dict[str, t.Any]:
        return {
            "seen": [r.headers.get("x-request-id", "") for r in self.runner.received],
            "runs": [run.id for run in self.runner.runs],
            "tickets": self.runner.active_reservations(),
        }


class Processes:
    """Stand-ins for the store and the runners of the platform."""

    def store(self, host: str, port: int) -> None:
        """Run the store."""
        _serve(ControllableStore().handle, host, port)

    def runner(self, id: str, service: str, host: str, port: int) -> None:
        """Run a runner; a runner of the service ``model`` streams its answers."""
        streams = service == "model"
        runner = Runner(
            id,
            service,
            host=host,
            streams=streams,
            work_s=0.02,
            gap_s=0.03,
            simulates_prefill=True,
        )
        _serve(ControllableRunner(runner).handle, host, port)


def _serve(
    handler: t.Callable[[WireConnection, WireRequest], t.Awaitable[bool]],
    host: str,
    port: int,
) -> None:
    server = WireServer(handler, host)
    server.port = port
    trio.run(server.run)


if __name__ == "__main__":
    fire.Fire(Processes)
