"""Stand-in platform: table service, object store, instance list, weight store."""

import collections
import dataclasses
import typing as t

import fire
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from . import cost
from .common import Knobs, knobs_handler, read_json, serve

PAGE_ROWS = 500


@dataclasses.dataclass
class PlatformKnobs(Knobs):
    """Faults of the platform.

    :param down: every call is refused.
    :param list_lag_s: delay of the list of instances, in seconds.
    :param late_writes: number of the next writes that take effect and are
        answered only after ``late_by_s`` seconds.
    """

    down: bool = False
    list_lag_s: float = 1.0
    late_writes: int = 0
    late_by_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class LoggedWrite:
    """A write of one row.

    :param at: time of the write, in seconds on trio's clock.
    """

    at: float
    table: str
    key: str
    version: int
    value: t.Any


class PlatformModel:
    """The platform without its HTTP API."""

    def __init__(self) -> None:
        self.knobs = PlatformKnobs()
        self.tables: dict[str, dict[str, tuple[int, t.Any]]] = collections.defaultdict(
            dict
        )
        self.objects: dict[str, bytes] = {}
        self.writes = 0
        self.reads = 0
        self.era = 1
        self._log: list[LoggedWrite] = []
        self._registrations: list[tuple[float, dict[str, t.Any]]] = []

    def put(self, table: str, key: str, value: t.Any, expected: int) -> int | None:
        """Write a row if it has version ``expected``; return the new version.

        Return ``None`` if the row has another version; 0 means no row.
        """
        version, _ = self.tables[table].get(key, (0, None))
        if version != expected:
            return None
        self.writes += 1
        self._set_row(LoggedWrite(trio.current_time(), table, key, version + 1, value))
        return version + 1

    def _set_row(self, write: "LoggedWrite") -> None:
        self._log.append(write)
        self.tables[write.table][write.key] = (write.version, write.value)

    def restore(self, seconds_back: float) -> None:
        """Return to the state of some seconds ago, in a new era.

        Row versions that are lost are assigned again.
        """
        restored_to = trio.current_time() - seconds_back
        kept = [write for write in self._log if write.at <= restored_to]
        self._log = []
        self.tables.clear()
        for write in kept:
            self._set_row(write)
        self._registrations = [
            item for item in self._registrations if item[0] <= restored_to
        ]
        self.era += 1

    def scan(self, table: str, after: str) -> list[dict[str, t.Any]]:
        """Return a page of the rows after a key, in key order."""
        self.reads += 1
        rows = self.tables[table]
        keys = sorted(key for key in rows if key > after)[:PAGE_ROWS]
        return [_row_fields(key, *rows[key]) for key in keys]

    def register(self, entry: dict[str, t.Any]) -> None:
        """Add an entry to the list of instances."""
        self._registrations.append((trio.current_time(), entry))

    def instances(self) -> list[dict[str, t.Any]]:
        """Return the list of instances as of ``list_lag_s`` ago."""
        visible_until = trio.current_time() - self.knobs.list_lag_s
        entry_by_id = {
            entry["id"]: entry
            for at, entry in self._registrations
            if at <= visible_until
        }
        return list(entry_by_id.values())


class PlatformApp:
    """HTTP API of the platform, with conditional requests."""

    def __init__(self, model: PlatformModel) -> None:
        self.model = model
        self._weights_lock = trio.Lock()

    def asgi(self) -> t.Any:
        """Return the ASGI application; all its answers name the era."""
        app = self._routes()

        async def with_era(scope: t.Any, receive: t.Any, send: t.Any) -> None:
            async def send_with_era(message: t.Any) -> None:
                if message["type"] == "http.response.start":
                    era = str(self.model.era).encode()
                    message["headers"] = [*message["headers"], (b"store-era", era)]
                await send(message)

            await app(scope, receive, send_with_era)

        return with_era

    def _routes(self) -> Starlette:
        row_path = "/tables/{table}/{key:path}"
        object_path = "/objects/{key:path}"
        return Starlette(
            routes=[
                Route("/tables/{table}", self._scan),
                Route(row_path, self._get),
                Route(row_path, self._put, methods=["PUT"]),
                Route(object_path, self._get_object),
                Route(object_path, self._put_object, methods=["PUT"]),
                Route("/instances", self._instances),
                Route("/instances", self._register, methods=["PUT"]),
                Route("/weights/{model}", self._fetch_weights),
                Route("/knobs", knobs_handler(self.model.knobs), methods=["POST"]),
            ]
        )

    async def _refusal_when_down(self) -> Response | None:
        await self.model.knobs.delay_request()
        if self.model.knobs.down:
            return JSONResponse({"error": "down"}, 503)
        return None

    async def _scan(self, request: Request) -> Response:
        if refusal := await self._refusal_when_down():
            return refusal
        after = request.query_params.get("after", "")
        rows = self.model.scan(request.path_params["table"], after)
        return JSONResponse({"rows": rows})

    async def _get(self, request: Request) -> Response:
        if refusal := await self._refusal_when_down():
            return refusal
        self.model.reads += 1
        key = request.path_params["key"]
        found = self.model.tables[request.path_params["table"]].get(key)
        if found is None:
            return JSONResponse({"error": "absent"}, 404)
        return JSONResponse(_row_fields(key, *found))

    async def _put(self, request: Request) -> Response:
        if refusal := await self._refusal_when_down():
            return refusal
        value = await read_json(request)
        if self.model.knobs.late_writes > 0:
            self.model.knobs.late_writes -= 1
            await trio.sleep(self.model.knobs.late_by_s)
        table, key = request.path_params["table"], request.path_params["key"]
        expected = int(request.headers.get("if-match", '"0"').strip('"'))
        version = self.model.put(table, key, value, expected)
        await self.model.knobs.drop_answer()
        if version is None:
            return JSONResponse({"error": "changed"}, 412)
        return JSONResponse(_row_fields(key, version, value))

    async def _get_object(self, request: Request) -> Response:
        if refusal := await self._refusal_when_down():
            return refusal
        found = self.model.objects.get(request.path_params["key"])
        if found is None:
            return JSONResponse({"error": "absent"}, 404)
        return Response(found)

    async def _put_object(self, request: Request) -> Response:
        if refusal := await self._refusal_when_down():
            return refusal
        self.model.objects[request.path_params["key"]] = await request.body()
        return JSONResponse({})

    async def _instances(self, request: Request) -> Response:
        if refusal := await self._refusal_when_down():
            return refusal
        self.model.reads += 1
        return JSONResponse({"instances": self.model.instances()})

    async def _register(self, request: Request) -> Response:
        if refusal := await self._refusal_when_down():
            return refusal
        self.model.register(await read_json(request))
        return JSONResponse({})

    async def _fetch_weights(self, request: Request) -> Response:
        """Answer once the weights are transferred; transfers run one at a time."""
        if refusal := await self._refusal_when_down():
            return refusal
        size = int(request.query_params.get("bytes", cost.WEIGHT_BYTES_PER_S))
        async with self._weights_lock:
            await trio.sleep(size / cost.WEIGHT_BYTES_PER_S)
        return JSONResponse({"bytes": size})


def _row_fields(key: str, version: int, value: t.Any) -> dict[str, t.Any]:
    return {"key": key, "version": version, "value": value}


def main(port: int, host: str = "127.0.0.1") -> None:
    """Run the platform."""
    serve(PlatformApp(PlatformModel()).asgi(), host, port)


if __name__ == "__main__":
    fire.Fire(main)
