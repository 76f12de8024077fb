"""Stand-in for a runner of a plain service."""

import asyncio
import json
import time
import typing as t

from .record import Record
from .store import Store
from .wire import Request, free_port, read_request, reset, send_reply

MISSED_HEARTBEATS_S = 3.6  # three intervals, after which the entry is removed


class Runner:
    """A runner that registers itself in the store.

    :param crashing_body: a request with this body ends the process that runs it.
    :param down_s: time until a crashed runner is back.
    :ivar state: as listed.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        store: Store,
        record: Record,
        work_s: float = 0.03,
        crashing_body: bytes | None = None,
        down_s: float = 2.0,
    ) -> None:
        self.name = name
        self.service = service
        self._host = host
        self._port = free_port(host)
        self._store = store
        self._record = record
        self._work_s = work_s
        self._crashing_body = crashing_body
        self._down_s = down_s
        self._starts = 0
        self._runs = 0
        self._born_ms = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.state = "ready"

    @property
    def id(self) -> str:
        """The id of the present incarnation."""
        return f"{self.name}-{self._starts}"

    async def start(self) -> None:
        """Start an incarnation and register it."""
        self._starts += 1
        self._born_ms = int(time.time() * 1000)
        self.state = "ready"
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self.register()
        self._record.write("runner started", runner=self.id)

    def register(self) -> int:
        """Write the entry of this runner; return the store's version."""
        return self._store.put("servers", self.id, self.entry())

    def entry(self) -> dict[str, t.Any]:
        """Return the entry of this runner."""
        return {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self._born_ms,
        }

    def crash(self, request_id: str) -> None:
        """End the process; it is back after some seconds under a new id."""
        self._record.write("runner crashed", runner=self.id, id=request_id)
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        self._spawn(self._drop_entry(self.id))
        self._spawn(self._restart())

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drop_entry(self, id: str) -> None:
        await asyncio.sleep(MISSED_HEARTBEATS_S)
        self._store.drop("servers", id)

    async def _restart(self) -> None:
        await asyncio.sleep(self._down_s)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            reset(writer)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.id) != self.id:
            await send_reply(writer, 421, headers={"X-Instance-Id": self.id})
            return
        if not id:
            await send_reply(writer, 400, headers={"X-Not-Executed": "1"})
            return
        self._runs += 1
        seal = f"{self.id}.{self._runs}"
        self._record.write("run", runner=self.id, id=id, state=self.state)
        if self._crashing_body is not None and request.body == self._crashing_body:
            self.crash(id)
            return
        await asyncio.sleep(self._work_s)
        body = json.dumps({"by": self.id, "path": request.path}).encode()
        headers = {"X-Request-Id": id, "X-Server-Seal": seal}
        await send_reply(writer, 200, body, headers)
