"""Stand-in for a runner, in a process of its own: an engine or a plain service.

What happens is written to standard output, one line of JSON an event. Lines of JSON on
standard input change how it behaves.
"""

import argparse
import asyncio
import json
import os
import sys
import threading
import time

from .wire import Request, read_request, response

EVENT_GAP_S = 0.045
PLAIN_WORK_S = 0.03
CRASH_STATUS = 70


class Runner:
    """One runner.

    :ivar is_leaving: all its answers say that it leaves.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.is_leaving = False
        self.running = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path == "/report":
            writer.write(self._response(200, _report(self.running), {}))
            return
        if request.path == "/order":
            writer.write(self._response(200, b'{"free": 200000}', {}))
            return
        id = request.headers.get("x-request-id", "")
        own = {"X-Request-Id": id, "X-Instance-Id": self.options.id}
        expected = request.headers.get("x-expect-instance", self.options.id)
        if expected != self.options.id:
            report("turned_away", id)
            writer.write(self._response(421, b"", own))
            return
        report("ran", id, fingerprint=_mark(request))
        self.running += 1
        try:
            headers = {**own, "X-Server-Seal": f"seal.{self.options.id}.{id}"}
            if self.options.streams:
                await self._stream(request, writer, headers)
            else:
                await asyncio.sleep(PLAIN_WORK_S)
                body = json.dumps({"by": self.options.id}).encode()
                writer.write(self._response(200, body, headers))
            report("answered", id)
        finally:
            self.running -= 1

    async def _stream(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> None:
        """Stream the answer; a request that crashes the process ends it on the way."""
        allowed_s = int(request.headers["x-deadline-ms"]) / 1000
        if self.options.first_event_s > allowed_s:
            await asyncio.sleep(allowed_s)
            writer.write(self._response(504, b"", headers))
            return
        await asyncio.sleep(self.options.first_event_s)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self._with_own(headers).items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        crashes = bool(self.options.crashing) and _mark(request) == "poison"
        began_at = time.monotonic()
        last = int(request.headers.get("x-token-usage", "0,0").split(",")[1])
        for number in range(first, last + 1):
            event = b"id: %d\ndata: token-%d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
            if crashes and time.monotonic() - began_at >= self.options.crash_after_s:
                report("crashed", request.headers["x-request-id"])
                os._exit(CRASH_STATUS)
        writer.write(b"0\r\n\r\n")

    def _response(self, status: int, body: bytes, headers: dict[str, str]) -> bytes:
        return response(status, body, self._with_own(headers))

    def _with_own(self, headers: dict[str, str]) -> dict[str, str]:
        return {**headers, "Server-Leaving": "1"} if self.is_leaving else headers

    def follow(self, loop: asyncio.AbstractEventLoop) -> None:
        """Apply what the script writes to standard input."""
        for line in sys.stdin:
            loop.call_soon_threadsafe(self._apply, json.loads(line))
        os._exit(0)  # the script has ended

    def _apply(self, fields: dict[str, bool]) -> None:
        self.is_leaving = fields.get("is_leaving", self.is_leaving)


def report(event: str, request: str, **fields: str) -> None:
    """Write an event to standard output."""
    line = {"event": event, "request": request, "at": time.monotonic(), **fields}
    print(json.dumps(line), flush=True)


def _mark(request: Request) -> str:
    """Return what the body of a request calls it; the stand-in has no model."""
    return request.body.decode("latin-1").partition(" ")[0]


def _report(running: int) -> bytes:
    fields = {
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "busy": False,
        "sequence": 0,
        "queued": 0,
        "running": running,
        "kv_used": 0,
        "kv_total": 232_000,
        "handles": 0,
    }
    return json.dumps(fields).encode()


async def _run(options: argparse.Namespace) -> None:
    runner = Runner(options)
    server = await asyncio.start_server(runner.serve, options.host, options.port)
    loop = asyncio.get_running_loop()
    threading.Thread(target=runner.follow, args=(loop,), daemon=True).start()
    port = server.sockets[0].getsockname()[1]
    report("listening", "", port=str(port))
    await server.serve_forever()


def main() -> None:
    """Run one runner until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--streams", action="store_true")
    parser.add_argument("--first-event-s", type=float, default=0.05)
    parser.add_argument("--crashing", action="store_true")
    parser.add_argument("--crash-after-s", type=float, default=0.0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
