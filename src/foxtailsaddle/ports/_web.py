"""The port to the web server."""

import typing as t

from ..core import Listen

AsgiApp = t.Callable[..., t.Awaitable[None]]
# Key in a request's scope. The value is a TakeRoom, for what is held of its answer.
TAKE_ROOM_KEY = "foxtailsaddle.take_room"


class WebServer(t.Protocol):
    """Serves an ASGI application on an address."""

    async def serve(
        self,
        app: AsgiApp,
        listen: Listen,
        wait_for_shutdown: t.Callable[[], t.Awaitable[float]],
    ) -> None:
        """Serve until ``wait_for_shutdown`` returns, then finish requests in flight.

        :param wait_for_shutdown: waits for the shutdown; returns the longest time that
            requests in flight may still take, in seconds.
        :raises AddressInUseError: the address can't be listened on.
        """
