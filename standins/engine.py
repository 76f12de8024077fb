"""HTTP server of the stand-in model engine."""

import json
import os
import time
import typing as t

import fire
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from .common import knobs_handler, read_json, serve
from .engine_model import EngineModel


class EngineApp:
    """HTTP API of an engine: completions, and paths for attempts, KV and load."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        attempt = "/v1/attempts/{attempt}"
        post = ["POST"]
        return Starlette(
            routes=[
                Route("/v1/completions", self._complete, methods=post),
                Route("/v1/chat/completions", self._complete, methods=post),
                Route(attempt, self._show_attempt),
                Route(attempt + "/cancel", self._cancel, methods=post),
                Route("/kv/events", self._cache_events),
                Route("/kv/blocks", self._cache_blocks),
                Route("/kv/{name}", self._reserve, methods=["PUT"]),
                Route("/kv/{name}/prefill", self._prefill, methods=post),
                Route("/load", self._load),
                Route("/orders", self._receive_order, methods=post),
                Route("/leave", self._leave, methods=post),
                Route("/knobs", knobs_handler(self.model.knobs), methods=post),
                Route("/book", self._show_history),
            ]
        )

    async def _complete(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        self.model.arrivals.append(trio.current_time())
        attempt = request.headers["x-request-id"]
        known = attempt in self.model.sequence_by_attempt
        if self.model.leaving and not known:
            headers = {"x-not-run": "1", "x-request-id": attempt}
            return JSONResponse({"error": "leaving"}, 503, headers=headers)
        body = await read_json(request)
        chat = "messages" in body
        prompt = body.get("prompt") or "\n".join(
            str(message.get("content", "")) for message in body["messages"]
        )
        sequence = self.model.submit(attempt, prompt, body)
        offset = int(body.get("resume_from", 0))
        return StreamingResponse(
            self._stream(sequence, offset, chat), media_type="text/event-stream"
        )

    async def _stream(
        self, sequence: t.Any, offset: int, chat: bool
    ) -> t.AsyncIterator[bytes]:
        async for index, text in self.model.tokens(sequence, offset):
            if index < 0:
                yield b": waiting\n\n"
                continue
            if self.model.knobs.crossed:
                chunk = _completion_chunk("another~attempt", index, "crossed ", chat)
                yield f"data: {json.dumps(chunk)}\n\n".encode()
            chunk = _completion_chunk(sequence.attempt, index, text, chat)
            yield f"data: {json.dumps(chunk)}\n\n".encode()
            if text is None:
                yield b"data: [DONE]\n\n"

    async def _show_attempt(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        state = self.model.state(request.path_params["attempt"])
        if state is None:
            return JSONResponse({"error": "unknown attempt"}, 404)
        return JSONResponse({"state": state})

    async def _cancel(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        known = self.model.cancel(request.path_params["attempt"])
        return JSONResponse({"known": known})

    async def _reserve(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        body = await read_json(request)
        if not self.model.reserve(request.path_params["name"], body["tokens"]):
            return JSONResponse({"error": "no room"}, 409)
        return JSONResponse({"reserved": body["tokens"]})

    async def _prefill(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        self.model.arrivals.append(trio.current_time())
        name = request.path_params["name"]
        body = await read_json(request)
        if not self.model.prefill(name, body["prompt"], body["priority"]):
            return JSONResponse({"error": "nothing reserved"}, 409)
        return JSONResponse({"started": name}, 202)

    async def _load(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        return JSONResponse(self.model.load())

    async def _cache_events(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        after = int(request.query_params.get("after", 0))
        return JSONResponse(
            {
                "events": self.model.cache.events_after(
                    after, self.model.knobs.cache_lag_s
                )
            }
        )

    async def _cache_blocks(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        head, blocks = self.model.cache.all_blocks()
        return JSONResponse({"head": head, "blocks": blocks})

    async def _receive_order(self, request: Request) -> Response:
        await self.model.knobs.delay_request()
        if not self.model.order(await read_json(request)):
            return JSONResponse({"error": "old fencing number"}, 409)
        return JSONResponse({"number": self.model.order_number})

    async def _leave(self, request: Request) -> Response:
        self.model.leaving = True
        return JSONResponse({"leaving": True})

    async def _show_history(self, request: Request) -> Response:
        model = self.model
        return JSONResponse(
            {
                "ran": list(model.ran),
                "held_tokens": model.held_tokens,
                "held": list(model.sequence_by_attempt) + list(model.reserved_by_name),
                "orders": model.orders,
            }
        )


def _completion_chunk(
    attempt: str, offset: int, text: str | None, chat: bool
) -> dict[str, t.Any]:
    reason = "length" if text is None else None
    content = text or ""
    choice = {"delta": {"content": content}} if chat else {"text": content}
    return {
        "id": attempt,
        "offset": offset,
        "choices": [{"index": 0, "finish_reason": reason, **choice}],
    }


def main(port: int, host: str = "127.0.0.1", checks_orders: bool = True) -> None:
    """Run one engine.

    :param checks_orders: refuse orders with an outdated fencing number.
    """
    incarnation = f"{time.time_ns():x}"
    model = EngineModel(incarnation, lambda: os._exit(1), checks_orders=checks_orders)
    serve(EngineApp(model).asgi(), host, port, model.run)


if __name__ == "__main__":
    fire.Fire(main)
