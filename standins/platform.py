"""The platform: table service, object store, instance list, weight store."""

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
from .common import Knobs, knob_endpoint, read_json, serve

PAGE_ROWS = 500


@dataclasses.dataclass
class PlatformKnobs(Knobs):
    """Faults of the platform.

    :param down: every call is refused.
    :param list_lag_s: how late the list of instances is.
    :param late_writes: so many coming writes are not answered and take effect
        only after ``late_by_s``.
    """

    down: bool = False
    list_lag_s: float = 1.0
    late_writes: int = 0
    late_by_s: float = 3.0


class PlatformModel:
    """The platform without its HTTP face."""

    def __init__(self) -> None:
        self.knobs = PlatformKnobs()
        self.tables: dict[str, dict[str, tuple[int, t.Any]]] = collections.defaultdict(
            dict
        )
        self.objects: dict[str, bytes] = {}
        self.writes = 0
        self.reads = 0
        self._listed: list[tuple[float, dict[str, t.Any]]] = []

    def put(self, table: str, key: str, value: t.Any, expected: int) -> int | None:
        """Write a row at version ``expected``; ``None`` when it is at another."""
        version, _ = self.tables[table].get(key, (0, None))
        if version != expected:
            return None
        self.writes += 1
        self.tables[table][key] = (version + 1, value)
        return version + 1

    def scan(self, table: str, after: str) -> list[dict[str, t.Any]]:
        """Return a page of rows behind a key, in key order."""
        self.reads += 1
        rows = self.tables[table]
        keys = sorted(key for key in rows if key > after)[:PAGE_ROWS]
        return [_row(key, *rows[key]) for key in keys]

    def register(self, line: dict[str, t.Any]) -> None:
        """Add a line to the list of instances."""
        self._listed.append((trio.current_time(), line))

    def instances(self) -> list[dict[str, t.Any]]:
        """Return the list as it was some time ago."""
        before = trio.current_time() - self.knobs.list_lag_s
        by_id = {line["id"]: line for at, line in self._listed if at <= before}
        return list(by_id.values())


class PlatformApp:
    """The platform's HTTP face, with conditional requests."""

    def __init__(self, model: PlatformModel) -> None:
        self.model = model
        self._weights = trio.Lock()

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        row = "/tables/{table}/{key:path}"
        thing = "/objects/{key:path}"
        return Starlette(
            routes=[
                Route("/tables/{table}", self._scan),
                Route(row, self._get),
                Route(row, self._put, methods=["PUT"]),
                Route(thing, self._get_object),
                Route(thing, self._put_object, methods=["PUT"]),
                Route("/instances", self._instances),
                Route("/instances", self._register, methods=["PUT"]),
                Route("/weights/{model}", self._fetch_weights),
                Route("/knobs", knob_endpoint(self.model.knobs), methods=["POST"]),
            ]
        )

    async def _guarded(self) -> Response | None:
        await self.model.knobs.before()
        if self.model.knobs.down:
            return JSONResponse({"error": "down"}, 503)
        return None

    async def _scan(self, request: Request) -> Response:
        if refusal := await self._guarded():
            return refusal
        after = request.query_params.get("after", "")
        rows = self.model.scan(request.path_params["table"], after)
        return JSONResponse({"rows": rows})

    async def _get(self, request: Request) -> Response:
        if refusal := await self._guarded():
            return refusal
        self.model.reads += 1
        key = request.path_params["key"]
        found = self.model.tables[request.path_params["table"]].get(key)
        if found is None:
            return JSONResponse({"error": "absent"}, 404)
        return JSONResponse(_row(key, *found))

    async def _put(self, request: Request) -> Response:
        if refusal := await self._guarded():
            return refusal
        value = await read_json(request)
        if self.model.knobs.late_writes > 0:
            self.model.knobs.late_writes -= 1
            await trio.sleep(self.model.knobs.late_by_s)
        table, key = request.path_params["table"], request.path_params["key"]
        expected = int(request.headers.get("if-match", '"0"').strip('"'))
        version = self.model.put(table, key, value, expected)
        await self.model.knobs.after()
        if version is None:
            return JSONResponse({"error": "changed"}, 412)
        return JSONResponse(_row(key, version, value))

    async def _get_object(self, request: Request) -> Response:
        if refusal := await self._guarded():
            return refusal
        found = self.model.objects.get(request.path_params["key"])
        if found is None:
            return JSONResponse({"error": "absent"}, 404)
        return Response(found)

    async def _put_object(self, request: Request) -> Response:
        if refusal := await self._guarded():
            return refusal
        self.model.objects[request.path_params["key"]] = await request.body()
        return JSONResponse({})

    async def _instances(self, request: Request) -> Response:
        if refusal := await self._guarded():
            return refusal
        self.model.reads += 1
        return JSONResponse({"instances": self.model.instances()})

    async def _register(self, request: Request) -> Response:
        if refusal := await self._guarded():
            return refusal
        self.model.register(await read_json(request))
        return JSONResponse({})

    async def _fetch_weights(self, request: Request) -> Response:
        """Answer once the model's weights have come, one model at a time."""
        if refusal := await self._guarded():
            return refusal
        size = int(request.query_params.get("bytes", cost.WEIGHT_BYTES_PER_S))
        async with self._weights:
            await trio.sleep(size / cost.WEIGHT_BYTES_PER_S)
        return JSONResponse({"bytes": size})


def _row(key: str, version: int, value: t.Any) -> dict[str, t.Any]:
    return {"key": key, "version": version, "value": value}


def main(port: int, host: str = "127.0.0.1") -> None:
    """Run the platform."""
    serve(PlatformApp(PlatformModel()).asgi(), host, port)


if __name__ == "__main__":
    fire.Fire(main)
