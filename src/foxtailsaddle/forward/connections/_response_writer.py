"""Writes the response to a client's request with h11."""

import typing as t

import h11
import trio

from ...core import ConnectionStage, Verdict
from ...errors import CallerGoneError, EndpointFailedError
from ...ports import Headers
from ..transport import send_all

PART_BYTES = 65_536


class H11ResponseWriter:
    """Writes the response to one request with h11.

    :param closing: ask the client to close the connection after this response.
    :param enter: called with the stage of the connection, as a part is sent.
    :param take: takes room for bytes of the response that are kept.
    :ivar is_finished: all bytes of the response have been sent.
    """

    def __init__(
        self,
        http: h11.Connection,
        sock: trio.socket.SocketType,
        closing: bool,
        enter: t.Callable[[ConnectionStage], None],
        take: t.Callable[[int], t.Awaitable[None]],
    ) -> None:
        self._http = http
        self._sock = sock
        self._closing = closing
        self._enter = enter
        self._take = take
        self.started = False
        self.is_finished = False
        self.status = 0

    async def take(self, size: int) -> None:
        """Take room for bytes of the response that are kept until they are sent.

        :raises NotReadyError: there is none.
        """
        await self._take(size)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and the headers of the response.

        :raises EndpointFailedError: HTTP does not allow these headers.
        """
        if self._closing:
            headers = [*headers, (b"connection", b"close")]
        try:
            head = h11.Response(status_code=status, headers=headers)
        except h11.LocalProtocolError as error:
            raise EndpointFailedError(
                f"the response can't be sent: {error}", verdict=Verdict.MAY_HAVE_RUN
            ) from error
        self.started = True
        self.status = status
        await self._send(head)

    async def send_data(self, data: bytes) -> None:
        """Send a part of the response body."""
        if data:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the response body as complete."""
        await self._send(h11.EndOfMessage())
        self.is_finished = True

    async def _send(self, event: t.Any) -> None:
        data = self._http.send(event)
        if not data:
            return
        try:
            for start in range(0, len(data), PART_BYTES):
                self._enter(ConnectionStage.SENDING)
                await send_all(self._sock, data[start : start + PART_BYTES])
        except (OSError, trio.ClosedResourceError) as error:
            raise CallerGoneError(str(error)) from error
        self._enter(ConnectionStage.READY)
