"""The platform store and runners as processes that tests control over HTTP."""

import dataclasses
import json
import os
import time
import typing as t

import fire
import trio

from .rows import RowStore
from .runner import Fault, Framing, Runner, RunnerEvent
from .wire import WireConnection, WireRequest, WireServer

CRASH_STATUS = 70


class ControllableStore:
    """The store.

    ``PUT`` ``/put``, ``/drop``, ``/change`` (several rows), ``/knobs``, ``/forget`` or
    ``/restore`` changes it.
    """

    def __init__(self) -> None:
        self.rows = RowStore()

    async def handle(self, connection: WireConnection, request: WireRequest) -> bool:
        """Answer one call."""
        if request.method != "PUT":
            return await self.rows.handle(connection, request)
        fields = request.json()
        if request.path == "/put":
            value = fields["text"].encode() if "text" in fields else fields["value"]
            self.rows.put(fields["table"], fields["key"], value)
        elif request.path == "/drop":
            self.rows.delete(fields["table"], fields["key"])
        elif request.path == "/change":
            changes = [
                (fields["table"], key, None if text is None else text.encode())
                for key, text in fields["text_by_key"].items()
            ]
            self.rows.change(changes)
        elif request.path == "/knobs":
            self.rows.knobs = dataclasses.replace(self.rows.knobs, **fields)
        elif request.path == "/forget":
            self.rows.forget_history()
        elif request.path == "/restore":
            self.rows.restore(fields["seconds_back"])
        return await connection.answer(200, b"{}")


class ControllableRunner:
    """A runner, controlled with ``PUT /fault`` and ``PUT /knobs``.

    ``GET /book`` returns the memory that it still holds. Each event of the runner is
    printed as a line of JSON, which outlasts the process.
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        runner.observe = self._print_event

    async def handle(self, connection: WireConnection, request: WireRequest) -> bool:
        """Answer one call."""
        if request.path == "/book":
            book = {"tickets": self.runner.active_reservations()}
            return await connection.answer(200, json.dumps(book).encode())
        if request.path == "/fault" and request.method == "PUT":
            self.runner.faults = [Fault(name) for name in request.json()]
            return await connection.answer(200, b"{}")
        if request.path == "/knobs" and request.method == "PUT":
            self._turn_knobs(**request.json())
            return await connection.answer(200, b"{}")
        return await self.runner.handle(connection, request)

    def _turn_knobs(
        self,
        events: int | None = None,
        is_leaving: bool | None = None,
        framing: str | None = None,
        retry_after: str | None = None,
        is_refusing: bool | None = None,
        limit_per_s: str | None = None,
    ) -> None:
        runner = self.runner
        if events is not None:
            runner.events = events
        if is_leaving is not None:
            runner.is_leaving = is_leaving
        if framing is not None:
            runner.framing = Framing(framing)
        if retry_after is not None:
            runner.retry_after = retry_after
        if is_refusing is not None:
            runner.fault = Fault.REFUSE if is_refusing else Fault.NONE
        if limit_per_s is not None:
            runner.limit_per_s = limit_per_s
            if not limit_per_s:
                self._print_event(RunnerEvent.LIMIT_ENDED, "")

    def _print_event(self, event: RunnerEvent, request_id: str) -> None:
        line = {
            "event": event.value,
            "runner": self.runner.id,
            "request": request_id,
            "at": time.monotonic(),
            "pause_s": float(self.runner.retry_after or 0),
            "per_s": float(self.runner.limit_per_s or 0),
        }
        print(json.dumps(line), flush=True)


class Processes:
    """Stand-ins for the store and the runners of the platform."""

    def store(self, host: str, port: int) -> None:
        """Run the store."""
        _serve(ControllableStore().handle, host, port)

    def runner(
        self, id: str, service: str, host: str, port: int, crashing_part: str = ""
    ) -> None:
        """Run a runner; a runner of the service ``model`` streams its answers.

        :param crashing_part: part of prompts that ends the process.
        """
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
        if crashing_part:
            runner.crashing_parts.add(crashing_part)
        runner.on_crash = lambda _: os._exit(CRASH_STATUS)
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
