"""One client connection: reads requests, and writes the answer of each."""

import json
import logging
import typing as t
from enum import Enum

import h11
import trio

from ..core import TrafficLimits, Verdict
from ..errors import (
    BodyTooLargeError,
    CallerGoneError,
    DeadlineExceededError,
    FoxtailsaddleError,
    HeadersTooLargeError,
    NotReadyError,
    RequestInvalidError,
)
from ..ports import Headers, Wire
from ._admission import Admission
from ._call import Call
from ._nursery import only
from ._sockets import RECEIVE_BYTES, send_all, tune

logger = logging.getLogger("foxtailsaddle.request")

MAX_EARLY_BYTES = 262_144  # of further requests, read while one is answered
HEADERS_TOO_LARGE = 431
EXPIRY_SLACK_S = 0.05
STOP_RETRY_S = 0.05  # another instance can serve it at once
REQUEST_LINE_BYTES = len("  HTTP/1.1\r\n")
HEADER_LINE_BYTES = len(": \r\n")


class Stage(Enum):
    """Where an instance is in its life.

    ``DRAINING`` serves what still arrives and asks clients to go elsewhere;
    ``STOPPING`` refuses it, since there is no time left to finish it.
    """

    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"


class Answer:
    """The answer to the request that a connection is serving."""

    def __init__(
        self, http: h11.Connection, sock: trio.socket.SocketType, closing: bool
    ) -> None:
        self._http = http
        self._sock = sock
        self._closing = closing
        self.started = False
        self.status = 0

    async def head(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.started = True
        self.status = status
        if self._closing:
            headers = [*headers, (b"connection", b"close")]
        await self._send(h11.Response(status_code=status, headers=headers))

    async def data(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body as complete."""
        await self._send(h11.EndOfMessage())

    async def _send(self, event: t.Any) -> None:
        data = self._http.send(event)
        if not data:
            return
        try:
            await send_all(self._sock, data)
        except OSError as error:
            raise CallerGoneError(str(error)) from error


class ClientConnection:
    """Serves the requests of one connection, one after the other.

    :param limits: bounds on what the client sends.
    :param stage: where this instance is in its life.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        admission: Admission,
        wire: Wire,
        limits: t.Callable[[], TrafficLimits],
        stage: t.Callable[[], Stage],
        note_end: t.Callable[[str, int, float], None],
    ) -> None:
        self._sock = sock
        self._admission = admission
        self._wire = wire
        self._limits = limits
        self._stage = stage
        self._note_end = note_end
        self._http = h11.Connection(h11.SERVER, limits().header_bytes)
        self._arrived_at = 0.0
        self.is_idle = True

    async def serve(self) -> None:
        """Serve until the connection ends."""
        try:
            tune(self._sock)
            while await self._serve_one():
                self._http.start_next_cycle()
        except (OSError, CallerGoneError, h11.LocalProtocolError) as error:
            logger.debug("request: connection ended", extra={"why": str(error)})
        finally:
            self._sock.close()

    async def _serve_one(self) -> bool:
        """Answer one request; return whether another may follow."""
        self.is_idle = not self._http.trailing_data[0]
        try:
            request = await self._read_head()
            if request is None:
                return False
            self.is_idle = False
            body = await self._read_body(request)
        except h11.RemoteProtocolError as error:
            await self._refuse(_as_refusal(error), "")
            return False
        except FoxtailsaddleError as error:
            await self._refuse(error, "")
            return False
        await self._answer(request, body)
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        wait_s = limits.idle_timeout_s
        self._arrived_at = trio.current_time()
        if self._http.trailing_data[0]:
            wait_s = limits.header_timeout_s
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            data = b""
            with trio.move_on_after(wait_s):
                data = await self._sock.recv(RECEIVE_BYTES)
            if not data:
                return None
            if self.is_idle:
                self.is_idle = False
                self._arrived_at = trio.current_time()
                wait_s = limits.header_timeout_s
            self._http.receive_data(data)

    async def _read_body(self, request: h11.Request) -> bytes:
        limits = self._limits()
        _check_head(request, limits)
        _check_framing(request, limits)
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await send_all(self._sock, self._http.send(go_on))
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_bytes:
                    raise BodyTooLargeError(
                        f"the body is over {limits.body_bytes} bytes"
                    )
                continue
            data = b""
            with trio.move_on_after(limits.idle_timeout_s):
                data = await self._sock.recv(RECEIVE_BYTES)
            if not data:
                raise CallerGoneError("the client left before its body was whole")
            self._http.receive_data(data)

    async def _answer(self, request: h11.Request, body: bytes) -> None:
        stage = self._stage()
        answer = Answer(self._http, self._sock, stage is not Stage.SERVING)
        headers = list(request.headers)
        caller = self._wire.read_request(headers)
        call: Call | None = None
        outcome = "answered"
        try:
            if stage is Stage.STOPPING:
                raise NotReadyError("this instance stops", retry_after_s=STOP_RETRY_S)
            call = self._admission.admit(
                caller,
                request.method.decode("ascii"),
                request.target.decode("latin-1"),
                headers,
                body,
                self._arrived_at,
                answer,
            )
            await self._forward(call)
        except CallerGoneError:
            outcome = "caller_gone"
            raise
        except FoxtailsaddleError as error:
            outcome = error.code
            await self._fail(error, caller.id, answer, call)
        except Exception:
            outcome = "internal_error"
            logger.exception("request: fault", extra={"id": caller.id})
            await self._fail(
                FoxtailsaddleError("internal error"), caller.id, answer, call
            )
        finally:
            self._log(call, caller.id, request, answer, outcome)

    async def _forward(self, call: Call) -> None:
        """Forward a call until it is answered, expires or its client leaves."""
        gone = trio.Event()
        with trio.move_on_at(call.expires_at + EXPIRY_SLACK_S) as expiry:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch_client, gone, nursery.cancel_scope)
                    await self._admission.forward(call)
                    nursery.cancel_scope.cancel()
            except ExceptionGroup as group:
                raise only(group) from group
        if gone.is_set() and self._http.our_state is not h11.DONE:
            raise CallerGoneError("the client closed its connection")
        if expiry.cancelled_caught:
            raise DeadlineExceededError("the time is over", verdict=call.verdict)

    async def _watch_client(self, gone: trio.Event, scope: trio.CancelScope) -> None:
        """Cancel the request when the client closes its connection."""
        early = 0
        while early < MAX_EARLY_BYTES:
            try:
                data = await self._sock.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                gone.set()
                scope.cancel()
                return
            early += len(data)
            self._http.receive_data(data)

    async def _fail(
        self,
        error: FoxtailsaddleError,
        request_id: str,
        answer: Answer,
        call: Call | None,
    ) -> None:
        if answer.started:
            # A cut answer must look cut: it ends without its last chunk.
            raise CallerGoneError(f"the answer was cut: {error.message}")
        if call is not None and call.verdict is not Verdict.NOT_RUN:
            error.verdict = call.verdict
        await self._refuse(error, request_id, answer)

    async def _refuse(
        self, error: FoxtailsaddleError, request_id: str, answer: Answer | None = None
    ) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        if answer is None:
            answer = Answer(self._http, self._sock, closing=True)
        headers = self._wire.refusal_headers(request_id, error.retry_after_s)
        body = json.dumps(
            {
                "code": error.code,
                "error": error.message,
                "verdict": error.verdict.value,
            }
        ).encode()
        headers.append((b"content-length", b"%d" % len(body)))
        await answer.head(_status(error), headers)
        await answer.data(body)
        await answer.finish()

    def _log(
        self,
        call: Call | None,
        request_id: str,
        request: h11.Request,
        answer: Answer,
        outcome: str,
    ) -> None:
        took_s = trio.current_time() - self._arrived_at
        self._note_end(outcome, answer.status, took_s)
        extra: dict[str, t.Any] = {
            "id": request_id,
            "outcome": outcome,
            "status": answer.status,
            "ms": round(took_s * 1000),
        }
        if call is None:
            extra["target"] = request.target.decode("latin-1")
        else:
            extra |= {
                "route": call.route.name,
                "endpoints": call.tried,
                "sends": call.sends,
                "verdict": call.verdict.value,
                **call.notes,
            }
        logger.info("request: ended", extra=extra)


def _status(error: FoxtailsaddleError) -> int:
    """Return the status; one that promises "not run" only when that is true."""
    if error.status == 503 and error.verdict is not Verdict.NOT_RUN:
        return 502
    if error.status == 504 and error.verdict is Verdict.NOT_RUN:
        return 503
    return error.status


def _check_head(request: h11.Request, limits: TrafficLimits) -> None:
    size = len(request.method) + len(request.target) + REQUEST_LINE_BYTES
    size += sum(
        len(name) + len(value) + HEADER_LINE_BYTES for name, value in request.headers
    )
    if size > limits.header_bytes:
        raise HeadersTooLargeError(f"the head is over {limits.header_bytes} bytes")


def _check_framing(request: h11.Request, limits: TrafficLimits) -> None:
    lengths = [value for name, value in request.headers if name == b"content-length"]
    coded = any(name == b"transfer-encoding" for name, _ in request.headers)
    if lengths and coded:
        raise RequestInvalidError("the body has both a length and chunks")
    if lengths and int(lengths[0]) > limits.body_bytes:
        raise BodyTooLargeError(f"the body is over {limits.body_bytes} bytes")


def _as_refusal(error: h11.RemoteProtocolError) -> FoxtailsaddleError:
    if error.error_status_hint == HEADERS_TOO_LARGE:
        return HeadersTooLargeError("the head of the request is too large")
    return RequestInvalidError(f"the request can't be read: {error}")
