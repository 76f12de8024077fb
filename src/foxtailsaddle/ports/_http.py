"""The HTTP client port."""

import contextlib
import dataclasses
import math
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request to an endpoint or to the platform.

    :param connect_timeout_s: longest time to open a connection, in seconds.
    :param idle_timeout_s: longest silence while writing or reading, and longest time
        from the first wait for the head of the response until it is complete, in
        seconds.
    :param total_timeout_s: longest time until the response is read, in seconds.
    :param new_connection: open a new connection, because a kept one may be dead.
    """

    method: str
    url: str
    headers: t.Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 5.0
    new_connection: bool = False
    total_timeout_s: float = math.inf


TakeRoom = t.Callable[[int], t.Awaitable[None]]


async def take_nothing(size: int) -> None:
    """Take no room for bytes that are held."""


class HttpResponse(t.Protocol):
    """A response whose headers have arrived and whose body has not been read."""

    status: int
    headers: t.Mapping[str, str]

    def chunks(self) -> t.AsyncGenerator[bytes, None]:
        """Iterate over the body as it arrives."""

    async def read(self, take_room: TakeRoom = take_nothing) -> bytes:
        """Return the whole body.

        :param take_room: takes room for each part before more is read.
        :raises ResponseTooLargeError: it is longer than any valid one.
        """


class HttpClient(t.Protocol):
    """Sends requests; its errors say whether a failed one may have been sent."""

    def exchange(
        self, request: HttpRequest
    ) -> contextlib.AbstractAsyncContextManager[HttpResponse]:
        """Send a request.

        :raises NothingSentError: no byte of the request was written.
        :raises ExchangeBrokenError: the server may have received the request.
        """
