"""One client connection: reads requests and writes the response to each."""

import contextlib
import logging
import typing as t
from enum import Enum

import h11
import trio

from ..._client_room import ClientRoom
from ...core import ConnectionStage, TrafficLimits, Verdict
from ...errors import (
    CallerGoneError,
    DeadlineExceededError,
    FoxtailsaddleError,
    NotReadyError,
)
from ...ports import CallerRequest, HeaderCodec
from .._admission import Admission
from .._request_context import RequestContext
from ..transport import (
    discard_until_closed,
    reset_on_close,
    set_client_tcp_options,
    unwrap_error_group,
)
from ._error_responses import error_body, error_status
from ._request_checks import check_framing, check_head_size, to_request_error
from ._request_logs import RequestEnd, log_end
from ._request_reader import RequestReader
from ._response_writer import H11ResponseWriter

logger = logging.getLogger("foxtailsaddle.request")

EXPIRY_MARGIN_S = 0.05  # the forwarder's own timeout, at the deadline, comes first
STOPPING_RETRY_AFTER_S = 0.05  # another instance can serve the request at once
MAX_REQUESTS_AHEAD = 100  # in a row, each sent before the answer to the one before
FIRST_REQUEST_WAIT_S = 0.5  # from a new connection to its first request, at most


class LifecycleStage(Enum):
    """Stage of an instance's lifecycle.

    ``DRAINING`` serves the requests that still arrive and closes each connection
    after its response, so that clients connect to other instances. ``STOPPING``
    refuses requests, since there is no time left to finish them.
    """

    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"


class ClientConnection:
    """Serves the requests of one connection, one after the other.

    :param limits: returns the bounds on what clients may send.
    :param room: admits the connection and its bytes.
    :param stage: returns the lifecycle stage of this instance.
    :param on_request_end: called with outcome, status and duration in seconds.
    :raises TooManyConnectionsError: there is no room for the connection.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        admission: Admission,
        header_codec: HeaderCodec,
        limits: t.Callable[[], TrafficLimits],
        room: ClientRoom,
        stage: t.Callable[[], LifecycleStage],
        on_request_end: t.Callable[[str, int, float], None],
    ) -> None:
        self._sock = sock
        self._admission = admission
        self._header_codec = header_codec
        self._limits = limits
        self._stage = stage
        self._on_request_end = on_request_end
        self._room = room
        self._holding = room.open(self)
        self._reader = RequestReader(sock, limits, self, room, self._holding)
        self._opened_at = trio.current_time()
        self._requests_ahead = 0
        self._forwarding: trio.CancelScope | None = None
        self._is_answered = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or served, has arrived, or is expected at once.

        The first request of a connection follows when it is opened.
        """
        age_s = trio.current_time() - self._opened_at
        is_new = not self._reader.has_received
        awaits_first_request = is_new and age_s < FIRST_REQUEST_WAIT_S
        return (
            self._holding.stage in (ConnectionStage.NEW, ConnectionStage.IDLE)
            and not awaits_first_request
            and not self._sock.is_readable()
        )

    def stop(self) -> None:
        """Close the connection if it is idle, else answer its request with an error.

        A request that is still being read is left alone.
        """
        if self.is_idle:
            self._enter(ConnectionStage.CLOSING)
            self._sock.close()
        elif self._forwarding is not None:
            self._forwarding.cancel()

    def close_now(self) -> None:
        """Close the connection without an answer, to make room for another one."""
        self._sock.close()

    def refuse_rest(self) -> None:
        """Refuse the request that is being read, to make room for others."""
        self._reader.refuse_rest()

    def check_head(self, request: h11.Request) -> None:
        """Check whether a request may be admitted, before its body is read.

        :raises FoxtailsaddleError: it can't be forwarded.
        """
        caller_request = self._header_codec.read_request(list(request.headers))
        self._admission.check_head(caller_request, _target(request))

    def allowed_s(self, request: h11.Request) -> float:
        """Return how long a request may take, in seconds."""
        caller_request = self._header_codec.read_request(list(request.headers))
        return self._admission.allowed_s(caller_request, _target(request))

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            set_client_tcp_options(self._sock)
            while await self._serve_one():
                self._http.start_next_cycle()
                self._reader.settle()
                self._enter(ConnectionStage.IDLE)
                is_ahead = self._reader.has_read_ahead
                self._requests_ahead = self._requests_ahead + 1 if is_ahead else 0
            self._enter(ConnectionStage.CLOSING)
            if self._is_answered:
                await discard_until_closed(self._sock)
        except (OSError, CallerGoneError, trio.ClosedResourceError) as error:
            logger.debug("request: connection ended", extra={"why": str(error)})
        finally:
            self._close()
            self._room.close(self._holding)

    @property
    def _http(self) -> h11.Connection:
        return self._reader.http

    def _enter(self, stage: ConnectionStage) -> None:
        self._room.enter(self._holding, stage)

    async def _take(self, size: int) -> None:
        await self._room.take(self._holding, size)

    def _close(self) -> None:
        """Close the connection; an unfinished response does not look complete.

        To a client of HTTP/1.0 the end of the connection ends the response.
        """
        is_cut = self._http.our_state in (h11.SEND_BODY, h11.ERROR)
        if is_cut and self._http.their_http_version == b"1.0":
            with contextlib.suppress(OSError):
                reset_on_close(self._sock)
        self._sock.close()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection may be used again."""
        self._is_answered = False
        try:
            request = await self._reader.read_head()
            if request is None:
                return False
            check_head_size(request, self._limits())
            check_framing(request, self._limits())
            body = await self._reader.read_body(request)
        except h11.RemoteProtocolError as error:
            await self._refuse_unread(to_request_error(error))
            return False
        except FoxtailsaddleError as error:
            await self._refuse_unread(error)
            return False
        await self._handle_request(request, body)
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _refuse_unread(self, error: FoxtailsaddleError) -> None:
        """Answer a request that was not read to its end."""
        self._enter(ConnectionStage.CLOSING)
        self._reader.settle()
        # The message may quote the request, which may hold an API key.
        duration_s = trio.current_time() - self._reader.arrived_at
        logger.info(
            "request: not read",
            extra={"code": error.code, "ms": round(duration_s * 1000)},
        )
        await self._send_error(error, "")

    async def _handle_request(self, request: h11.Request, body: bytes) -> None:
        stage = self._stage()
        self._enter(ConnectionStage.READY)
        closing = self._sends_too_far_ahead() or stage is not LifecycleStage.SERVING
        writer = self._new_writer(closing)
        headers = list(request.headers)
        caller_request = self._header_codec.read_request(headers)
        context: RequestContext | None = None
        outcome = "interrupted"
        try:
            if stage is LifecycleStage.STOPPING:
                raise NotReadyError(
                    "this instance is stopping", retry_after_s=STOPPING_RETRY_AFTER_S
                )
            context = self._admission.admit(
                caller_request,
                request.method.decode("ascii"),
                _target(request),
                headers,
                body,
                self._reader.arrived_at,
                writer,
            )
            await self._forward(context, writer)
            outcome = "answered"
        except CallerGoneError:
            outcome = "caller_gone"
            raise
        except FoxtailsaddleError as error:
            outcome = error.code
            await self._handle_error(error, caller_request.id, writer, context)
        except Exception:
            outcome = "internal_error"
            logger.exception(
                "request: unexpected error", extra={"id": caller_request.id}
            )
            await self._handle_error(
                FoxtailsaddleError("internal error"), caller_request.id, writer, context
            )
        finally:
            self._record_end(context, caller_request, request, writer, outcome)

    async def _forward(
        self, context: RequestContext, writer: H11ResponseWriter
    ) -> None:
        """Forward a request until it is served, expires or its client disconnects."""
        client_gone = trio.Event()
        expires_at = context.expires_at + EXPIRY_MARGIN_S
        with (
            unwrap_error_group(),
            trio.CancelScope() as stop,
            trio.move_on_at(expires_at) as expiry,
        ):
            self._forwarding = stop
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._watch_client, client_gone, nursery.cancel_scope
                    )
                    await self._admission.forward(context)
                    nursery.cancel_scope.cancel()
            finally:
                self._forwarding = None
        if writer.is_finished:
            self._is_answered = True
            return
        if client_gone.is_set():
            raise CallerGoneError("the client closed its connection")
        if stop.cancelled_caught:
            raise NotReadyError(
                "this instance stopped during the request",
                retry_after_s=STOPPING_RETRY_AFTER_S,
                verdict=context.verdict,
            )
        if expiry.cancelled_caught:
            raise DeadlineExceededError(
                "the allowed time for the request is over", verdict=context.verdict
            )

    async def _watch_client(
        self, client_gone: trio.Event, scope: trio.CancelScope
    ) -> None:
        """Cancel the request when the client closes its connection."""
        await self._reader.wait_for_hang_up()
        client_gone.set()
        scope.cancel()

    def _sends_too_far_ahead(self) -> bool:
        """Return whether the client's next requests are left to another connection.

        While there is no room for other connections, one with a request ahead of its
        answer would keep it from them for as long as it likes.
        """
        if self._requests_ahead >= MAX_REQUESTS_AHEAD:
            return True
        return self._reader.has_read_ahead and self._room.budget.is_full

    def _new_writer(self, closing: bool) -> H11ResponseWriter:
        return H11ResponseWriter(
            self._http, self._sock, closing, self._enter, self._take
        )

    async def _handle_error(
        self,
        error: FoxtailsaddleError,
        request_id: str,
        writer: H11ResponseWriter,
        context: RequestContext | None,
    ) -> None:
        if writer.started:
            # The client must see that the response is incomplete, so the connection
            # is closed without the last chunk.
            raise CallerGoneError(f"the response was cut short: {error.message}")
        if context is not None and context.verdict is not Verdict.NOT_RUN:
            error.verdict = context.verdict
        await self._send_error(error, request_id, writer)

    async def _send_error(
        self,
        error: FoxtailsaddleError,
        request_id: str,
        writer: H11ResponseWriter | None = None,
    ) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        if writer is None:
            writer = self._new_writer(closing=True)
        headers = self._header_codec.error_headers(request_id, error.retry_after_s)
        body = error_body(error)
        headers.append((b"content-length", b"%d" % len(body)))
        await writer.send_head(error_status(error), headers)
        await writer.send_data(body)
        await writer.finish()
        self._is_answered = True

    def _record_end(
        self,
        context: RequestContext | None,
        caller_request: CallerRequest,
        request: h11.Request,
        writer: H11ResponseWriter,
        outcome: str,
    ) -> None:
        duration_s = trio.current_time() - self._reader.arrived_at
        self._on_request_end(outcome, writer.status, duration_s)
        end = RequestEnd(outcome, writer.status, duration_s)
        log_end(end, caller_request, _target(request), context)


def _target(request: h11.Request) -> str:
    return request.target.decode("latin-1")
