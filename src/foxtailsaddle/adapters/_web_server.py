"""The web server port over hypercorn."""

import typing as t

import hypercorn.config
import hypercorn.trio

from ..core import Listen
from ..ports import AsgiApp
from ._listeners import open_listener

KEEP_ALIVE_S = 75.0


class HypercornServer:
    """Serves HTTP/1.1 and h2.

    :param max_requests: bound on requests at the same time on one address.
    :param silence_s: after which a caller that takes nothing is cut.
    """

    def __init__(self, max_requests: int, silence_s: float) -> None:
        self._max_requests = max_requests
        self._silence_s = silence_s

    async def serve(
        self,
        app: AsgiApp,
        listen: Listen,
        until: t.Callable[[], t.Awaitable[float]],
    ) -> None:
        """Serve until ``until`` returns, then finish what is in flight."""
        config = _config()
        sock = open_listener(listen, self._silence_s)
        config.bind = [f"fd://{sock.detach()}"]

        async def wait() -> None:
            config.graceful_timeout = await until()

        bounded = _BoundedRequests(app, self._max_requests)
        await hypercorn.trio.serve(bounded, config, mode="asgi", shutdown_trigger=wait)


class _BoundedRequests:
    """Refuses requests past a bound, at once."""

    def __init__(self, app: AsgiApp, bound: int) -> None:
        self._app = app
        self._bound = bound
        self._count = 0

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        if self._count >= self._bound:
            headers = [(b"retry-after", b"1"), (b"x-verdict", b"not_run")]
            start = {"type": "http.response.start", "status": 503, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b""})
            return
        self._count += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._count -= 1


def _config() -> hypercorn.config.Config:
    """Return the web server's settings.

    Its read timeout would cut a caller that waits for a long answer, and its
    default graceful timeout would cut what runs longer than 3 s at a planned
    stop. Callers that send or take nothing are cut by the listening socket and
    by the bound on reading a body.
    """
    config = hypercorn.config.Config()
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.read_timeout = None
    config.errorlog = None
    config.include_server_header = False
    return config
