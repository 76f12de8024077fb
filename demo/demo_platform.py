"""Runs the platform server with stand-in runners and prints a table of requests."""

import pathlib
import tempfile
import time

import httpcore
import trio

from soak.fleet import SoakFleet
from standins.front_world import HOST, KEY

PROMPTS = (("short", 1_460), ("medium", 45_000), ("long", 133_000), ("huge", 500_000))
PLAIN_PATHS = ("/safe/record", "/unsafe/sign-off")
ENGINES = 6


async def main() -> None:
    """Start a fleet, send every request to each instance, print a table."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="foxtailsaddle-demo-"))
    fleet = SoakFleet(folder, engines=ENGINES, plain=2, instances=3)
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(nursery)
            print(
                f"{'instance':9} {'request':18} {'status':>6} {'first ms':>9} {'ms':>6}"
            )
            counter = 0
            for name, (host, port) in fleet.front_addresses.items():
                for path, tokens in _requests():
                    counter += 1
                    url = f"http://{host}:{port}{path}"
                    result = await _send(url, f"{counter:016x}", tokens)
                    print(f"{name:9} {path:18} {result}")
            print(f"logs: {folder}")
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()


def _requests() -> list[tuple[str, int]]:
    streams = [(f"/stream/{name}", tokens) for name, tokens in PROMPTS]
    return streams + [(path, 0) for path in PLAIN_PATHS]


async def _send(url: str, id: str, tokens: int) -> str:
    headers = {
        "Host": HOST,
        "X-Request-Id": id,
        "X-Deadline-Ms": "10000",
        "Authorization": f"Token {KEY}",
    }
    if tokens:
        headers["X-Token-Usage"] = f"{tokens},700"
    started_at = time.monotonic()
    first_ms = 0.0
    async with httpcore.AsyncConnectionPool() as pool:
        async with pool.stream("POST", url, headers=headers, content=b"{}") as answer:
            async for _ in answer.aiter_stream():
                first_ms = first_ms or (time.monotonic() - started_at) * 1000
    took_ms = (time.monotonic() - started_at) * 1000
    return f"{answer.status:>6} {first_ms:>9.0f} {took_ms:>6.0f}"


if __name__ == "__main__":
    trio.run(main)
