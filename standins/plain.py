"""Stand-in for a plain service that records the calls that it ran."""

import base64
import dataclasses
import hashlib
import json
import os
import time
import typing as t

import fire
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .common import Knobs, knobs_handler, serve


@dataclasses.dataclass
class PlainKnobs(Knobs):
    """Faults of a plain service.

    :param crash_after: the process ends after this many more calls have taken
        effect; 0 for never.
    """

    crash_after: int = 0


LARGE_PATH = "large"
LARGE_ANSWER_BYTES = 8_000_000


class PlainModel:
    """The service without its HTTP API.

    :param incarnation: identifies this run of the service.
    :param on_crash: called when ``crash_after`` calls have taken effect.
    :ivar ran: the calls that took effect, in order.
    """

    def __init__(self, incarnation: str, on_crash: t.Callable[[], None]) -> None:
        self.incarnation = incarnation
        self.knobs = PlainKnobs()
        self.leaving = False
        self.ran: list[dict[str, t.Any]] = []
        self.outcome_by_attempt: dict[str, dict[str, t.Any]] = {}
        self._on_crash = on_crash

    def run(self, attempt: str, path: str, body: bytes) -> bytes:
        """Run a call, record it and return its answer."""
        digest = hashlib.sha256(body).hexdigest()
        self.ran.append({"attempt": attempt, "path": path, "digest": digest})
        answer = json.dumps({"recorded": digest[:12], "entry": len(self.ran)}).encode()
        if path == LARGE_PATH:
            answer = answer.ljust(LARGE_ANSWER_BYTES)
        self.outcome_by_attempt[attempt] = {
            "status": 200,
            "content_type": "application/json",
            "body": base64.b64encode(answer).decode(),
        }
        if self.knobs.crash_after > 0:
            self.knobs.crash_after -= 1
            if self.knobs.crash_after == 0:
                self._on_crash()
        return answer


class PlainApp:
    """HTTP API of the service."""

    def __init__(self, model: PlainModel) -> None:
        self.model = model

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/healthz", self._health),
                Route("/book", self._show_history),
                Route("/attempts/{attempt}", self._outcome),
                Route("/leave", self._leave, methods=["POST"]),
                Route("/knobs", knobs_handler(self.model.knobs), methods=["POST"]),
                Route("/{path:path}", self._call, methods=["GET", "POST"]),
            ]
        )

    async def _health(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        return JSONResponse(
            {"incarnation": self.model.incarnation, "leaving": self.model.leaving}
        )

    async def _call(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        id = request.headers.get("x-request-id", "")
        if self.model.leaving:
            headers = {"x-not-run": "1", "x-request-id": id}
            return JSONResponse({"error": "leaving"}, 503, headers=headers)
        answer = self.model.run(
            id,
            request.path_params["path"],
            await request.body(),
        )
        await self.model.knobs.drop_answer()
        return Response(answer, media_type="application/json")

    async def _outcome(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        found = self.model.outcome_by_attempt.get(request.path_params["attempt"])
        if found is None:
            return JSONResponse({"error": "unknown attempt"}, 404)
        return JSONResponse(found)

    async def _leave(self, request: Request) -> Response:
        self.model.leaving = True
        return JSONResponse({"leaving": True})

    async def _show_history(self, request: Request) -> Response:
        return JSONResponse({"ran": self.model.ran})


def main(port: int, host: str = "127.0.0.1") -> None:
    """Run one plain service."""
    model = PlainModel(f"{time.time_ns():x}", lambda: os._exit(1))
    serve(PlainApp(model).asgi(), host, port)


if __name__ == "__main__":
    fire.Fire(main)
