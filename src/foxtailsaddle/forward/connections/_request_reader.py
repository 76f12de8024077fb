"""Reads the requests of one client within the limits, and within the room for them."""

import typing as t
from enum import Enum

import h11
import trio

from ..._client_room import ClientRoom
from ...core import SMALL_BYTES, ConnectionStage, Holding, TrafficLimits
from ...errors import CallerGoneError, RequestTimeoutError
from ..transport import RECEIVE_BYTES, has_hung_up, send_all
from ._request_checks import announced_bytes, check_body_size, check_framing_size
from ._request_logs import log_idle_close

MAX_AHEAD_BYTES = 16_384  # of further requests, read while one is served
UNREAD_BYTES = 65_536  # that the system may hold of a client whom nobody reads
HANG_UP_POLL_S = 0.1
EVENTS_PER_TURN = 64


class AdmissionCheck(t.Protocol):
    """Knows from its head whether a request may be admitted."""

    def check_head(self, request: h11.Request) -> None:
        """Check the route and the client account of a request.

        :raises FoxtailsaddleError: the request can't be admitted.
        """

    def allowed_s(self, request: h11.Request) -> float:
        """Return how long a request may take, in seconds."""


class _Parsed(Enum):
    """How far the bytes of a body that were received have been read."""

    COMPLETE = "complete"
    NEEDS_DATA = "needs_data"
    NEEDS_TURN = "needs_turn"


class RequestReader:
    """Reads the requests of one connection.

    :param limits: returns the bounds on what clients may send.
    :ivar http: parses requests and frames responses.
    :ivar arrived_at: when the first byte of the present request was read.
    :ivar has_received: whether any request has begun to arrive.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        limits: t.Callable[[], TrafficLimits],
        admission_check: AdmissionCheck,
        room: ClientRoom,
        holding: Holding,
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._admission_check = admission_check
        self._room = room
        self._holding = holding
        self._receiving: trio.CancelScope | None = None
        self._is_refused = False
        self._received_bytes = 0
        self._body_ends_at: float | None = None
        self.http = self._new_parser()
        self.arrived_at = 0.0
        self.has_received = False

    @property
    def has_read_ahead(self) -> bool:
        """Whether bytes of a further request have been read."""
        return bool(self.http.trailing_data[0])

    def refuse_rest(self) -> None:
        """Read no more: the reading of the present request fails."""
        self._is_refused = True
        if self._receiving is not None:
            self._receiving.cancel()

    async def read_head(self) -> h11.Request | None:
        """Return the head of the next request, ``None`` if the client sends none.

        :raises FoxtailsaddleError: it does not fit, or is not complete in time.
        :raises h11.RemoteProtocolError: it can't be read.
        """
        self.arrived_at = trio.current_time()
        self._is_refused = False
        if not self.has_read_ahead and not await self._wait_while_idle():
            return None
        self._room.enter(self._holding, ConnectionStage.HEAD)
        while True:
            self._renew_parser()
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if not await self._receive_part("headers", self._head_ends_at):
                return None

    async def read_body(self, request: h11.Request) -> bytes:
        """Return the body of a request whose head has been checked.

        :raises FoxtailsaddleError: it does not fit, or is not complete in time.
        :raises h11.RemoteProtocolError: it can't be read.
        """
        self._room.enter(self._holding, ConnectionStage.BODY)
        body = bytearray()
        try:
            await self._fill_body(body, request)
            self.settle(len(body))
            return bytes(body)
        finally:
            # A traceback keeps it while the request is refused.
            body.clear()

    def settle(self, size: int = 0) -> None:
        """Keep room for ``size`` bytes and for those that are not parsed yet."""
        ahead_bytes = len(self.http.trailing_data[0])
        self._room.budget.resize(self._holding, size + ahead_bytes)

    async def wait_for_hang_up(self) -> None:
        """Read ahead a little; return when the client has closed the connection.

        Bytes beyond stay unread, and the end of the connection behind them is noticed
        all the same. Without room for them the client counts as gone.
        """
        while len(self.http.trailing_data[0]) < MAX_AHEAD_BYTES:
            try:
                data = await self._sock.recv(MAX_AHEAD_BYTES)
            except (OSError, trio.ClosedResourceError):
                return
            if not data or not self._room.try_take(self._holding, len(data)):
                return
            self.http.receive_data(data)
        if not self._room.try_take(self._holding, UNREAD_BYTES):
            return
        while not has_hung_up(self._sock):
            await trio.sleep(HANG_UP_POLL_S)

    async def _wait_while_idle(self) -> bool:
        """Wait for the first bytes of a request; return false if none come."""
        waits_since = self.arrived_at

        def ends_at() -> float:
            return waits_since + self._limits().idle_timeout_s

        data = await self._receive(ends_at)
        if data is None:
            idle_s = trio.current_time() - waits_since
            log_idle_close(idle_s, self._limits().idle_timeout_s)
        if not data:
            return False
        self.has_received = True
        self.arrived_at = trio.current_time()
        self._room.enter(self._holding, ConnectionStage.HEAD)
        await self._room.take(self._holding, len(data))
        self.http.receive_data(data)
        return True

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, self._limits().header_bytes)

    def _renew_parser(self) -> None:
        """Read the next head by the limits in force, with the bytes received so far."""
        received, _ = self.http.trailing_data
        self.http = self._new_parser()
        if received:
            self.http.receive_data(received)

    def _head_ends_at(self) -> float:
        return self.arrived_at + self._limits().header_timeout_s

    async def _fill_body(self, body: bytearray, request: h11.Request) -> None:
        is_checked = False
        self._body_ends_at = None
        self._received_bytes = len(self.http.trailing_data[0])
        if self.http.they_are_waiting_for_100_continue:
            self._admission_check.check_head(request)
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await send_all(self._sock, self.http.send(proceed))
        while (parsed := self._parse(body)) is not _Parsed.COMPLETE:
            if parsed is _Parsed.NEEDS_TURN:
                await self._room.next_parsing_turn()
                self._check_time(request)
                continue
            if (
                not is_checked
                and max(len(body), announced_bytes(request)) > SMALL_BYTES
            ):
                self._admission_check.check_head(request)
                is_checked = True
            self.settle(len(body))
            await self._receive_more_of_body(request)

    def _parse(self, body: bytearray) -> _Parsed:
        """Add the next parts of a body, a bounded number of them."""
        for _ in range(EVENTS_PER_TURN):
            event = self.http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return _Parsed.COMPLETE
            if not isinstance(event, h11.Data):
                break
            body += event.data
            check_body_size(len(body), self._limits())
        else:
            return _Parsed.NEEDS_TURN
        unparsed_bytes = len(self.http.trailing_data[0])
        framing_bytes = self._received_bytes - unparsed_bytes - len(body)
        check_framing_size(framing_bytes, len(body), self._limits())
        return _Parsed.NEEDS_DATA

    async def _receive_more_of_body(self, request: h11.Request) -> None:
        began_at = trio.current_time()

        def ends_at() -> float:
            idle_ends_at = began_at + self._limits().idle_timeout_s
            return min(idle_ends_at, self._request_ends_at(request))

        self._check_time(request)
        if not await self._receive_part("body", ends_at):
            raise CallerGoneError("the client closed before the body was complete")

    def _request_ends_at(self, request: h11.Request) -> float:
        if self._body_ends_at is None:
            allowed_s = self._admission_check.allowed_s(request)
            self._body_ends_at = self.arrived_at + allowed_s
        return self._body_ends_at

    def _check_time(self, request: h11.Request) -> None:
        """Check that there is time left for a request.

        :raises RequestTimeoutError: there is none.
        """
        if self._is_refused:
            raise _halted_error()
        if trio.current_time() >= self._request_ends_at(request):
            raise _late_error("body")

    async def _receive_part(self, part: str, ends_at: t.Callable[[], float]) -> bool:
        """Receive bytes of a request; return false at the end of the connection.

        :raises RequestTimeoutError: there were none in time.
        :raises NotReadyError: there is no room for them.
        """
        data = await self._receive(ends_at)
        if data is None:
            raise _late_error(part)
        if not data:
            return False
        await self._room.take(self._holding, len(data))
        self._received_bytes += len(data)
        self.http.receive_data(data)
        return True

    async def _receive(self, ends_at: t.Callable[[], float]) -> bytes | None:
        """Return the next bytes of the client, ``None`` if the timeout is over.

        A configuration may raise the timeout during the wait, and bytes may arrive
        while the process is paused at its end.
        """
        while not self._is_refused:
            with trio.CancelScope(deadline=ends_at()) as self._receiving:
                return await self._sock.recv(RECEIVE_BYTES)
            if self._is_refused:
                break
            if self._sock.is_readable():
                return await self._sock.recv(RECEIVE_BYTES)
            if trio.current_time() >= ends_at():
                return None
        raise _halted_error()


def _late_error(part: str) -> RequestTimeoutError:
    return RequestTimeoutError(f"the {part} was not complete within the allowed time")


def _halted_error() -> RequestTimeoutError:
    return RequestTimeoutError(
        "the rest of the request did not come while others needed its memory"
    )
