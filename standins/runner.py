"""Stand-in for a runner of the platform: a model engine or a plain service.

An engine can simulate prefill at the published speeds, but requests don't slow
each other down. That suffices for tests of what is sent and how it ends.
``standins/passes.py`` simulates engines whose requests share their time.
"""

import contextlib
import dataclasses
import json
import math
import time
import typing as t
from enum import Enum

import trio

from .wire import WireConnection, WireRequest, WireServer

PREFILL_TOKENS_PER_MS = 206.0
MS_PER_MILLION_TOKEN_PAIRS = 0.138
CRASH_DELAY_S = 0.05  # from the first event of a request that crashes its runner
LENGTH_AND_CHUNKS = b"content-length: 3\r\ntransfer-encoding: chunked"


class Fault(Enum):
    """Faults of a runner."""

    NONE = "none"
    ERROR = "error"  # answers 500 after the request ran
    REFUSE = "refuse"  # answers 503 and states that the request did not run
    UNAVAILABLE = "unavailable"  # answers 503 after the request ran
    MISDIRECTED = "misdirected"  # answers 421 with its own id
    HANG = "hang"  # accepts the request and never answers
    RESET = "reset"  # resets the connection after the request ran
    CUT = "cut"  # resets the connection in the middle of an event or a body
    TRUNCATE = "truncate"  # sends less than the stated content length
    GARBAGE = "garbage"  # sends bytes that are not HTTP
    OTHER_ID = "other_id"  # answers with the id of another request
    EXTRA = "extra"  # sends a second answer after a complete one
    UNFRAMED = "unframed"  # the end of the connection ends the body
    LENGTH_AND_CHUNKS = "length_and_chunks"  # states a wrong length beside chunks
    DIE = "die"  # the process ends and accepts no connections any more
    PARTIAL = "partial"  # ends a stream inside an event, as if it were complete
    RESET_LATE = "reset_late"  # resets the connection after a whole event
    BAD_ID = "bad_id"  # sends an event whose id no header can hold, then resets
    EMPTY = "empty"  # ends a stream before its first event
    EARLY = "early"  # answers before it has read the body
    # Bytes without end, until the caller closes the connection:
    ENDLESS_HEAD = "endless_head"
    ENDLESS_INFORMATIONAL = "endless_informational"  # 1xx responses
    ENDLESS_BODY = "endless_body"  # without length, chunks or blank line
    ENDLESS_CHUNKS = "endless_chunks"
    ENDLESS_CHUNK_HEADER = "endless_chunk_header"
    ENDLESS_TRAILERS = "endless_trailers"
    # The same, a few bytes at a time:
    DRIPPED_HEAD = "dripped_head"
    DRIPPED_INFORMATIONAL = "dripped_informational"
    DRIPPED_BODY = "dripped_body"


class RunnerEvent(Enum):
    """What a runner tells its observer, with the request that it concerns."""

    RECEIVED = "received"
    RAN = "ran"
    SAID_LEAVING = "said_leaving"
    ASKED_FOR_PAUSE = "asked_for_pause"
    CRASHED = "crashed"
    NAMED_LIMIT = "named_limit"
    LIMIT_ENDED = "limit_ended"  # concerns no request


class Framing(Enum):
    """How the end of a stream is told."""

    CHUNKED = "chunked"
    LENGTH = "length"  # by a content length
    CLOSE = "close"  # by the end of the connection


STATUS_BY_FAULT = {Fault.ERROR: 500, Fault.UNAVAILABLE: 503}


@dataclasses.dataclass
class Reservation:
    """Memory that is reserved until its lease expires.

    :param until: time at which the lease expires.
    """

    tokens: int
    until: float


@dataclasses.dataclass
class Run:
    """A request that this runner started to run."""

    request: WireRequest
    ended: bool = False
    cancelled: bool = False

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.request.headers["x-request-id"]


class Runner:
    """One runner and its HTTP API.

    :param streams: whether answers are event streams.
    :param events: number of events of each stream.
    :param work_s: seconds to the answer, or to the first event.
    :param gap_s: seconds between events.
    :param simulates_prefill: whether prompts take the prefill time of the
        published speeds.
    :ivar faults: faults of the next requests, one each; then ``fault`` applies.
    :ivar framing: of the streams.
    :ivar received: requests that were received, including refused ones.
    :ivar received_at: when each of them was received.
    :ivar refused_at: when those were refused that ``Fault.REFUSE`` concerns.
    :ivar reservation_by_id: reserved memory, including expired leases.
    :ivar capacity_tokens: memory for reservations, in tokens.
    :ivar pace: slowdown that is reported.
    :ivar crashing_parts: parts of prompts that end the process ``CRASH_DELAY_S`` after
        the first event of a request, unless they are the last part of its prompt.
    :ivar crashes: number of times that the process has ended by such a request.
    :ivar on_crash: called when the process has ended by such a request.
    :ivar observe: called with an event and the id of its request.
    :ivar report_count: number of load reports that were sent.
    :ivar is_leaving: all answers say that the runner is about to leave.
    :ivar retry_after: value of that header in answers with 503; empty for none.
    :ivar limit_per_s: value of the header that names a limit in requests per second
        from all instances; empty for none.
    :ivar requests_at: when requests of any kind arrived, orders and reports included.
    :ivar endless_bytes: bytes sent so far by faults without end.
    """

    def __init__(
        self,
        id: str,
        service: str,
        *,
        host: str,
        zone: str = "a",
        streams: bool = False,
        events: int = 4,
        work_s: float = 0.01,
        gap_s: float = 0.01,
        slots: int = 8,
        simulates_prefill: bool = False,
    ) -> None:
        self.id = id
        self.name = id
        self.incarnation = 1
        self.born_ms = _wall_clock_ms()
        self.service = service
        self.zone = zone
        self.streams = streams
        self.events = events
        self.work_s = work_s
        self.gap_s = gap_s
        self.slots = slots
        self.simulates_prefill = simulates_prefill
        self.fault = Fault.NONE
        self.faults: list[Fault] = []
        self.framing = Framing.CHUNKED
        self.received: list[WireRequest] = []
        self.received_at: list[float] = []
        self.refused_at: list[float] = []
        self.runs: list[Run] = []
        self.reservation_by_id: dict[str, Reservation] = {}
        self.orders: list[dict[str, t.Any]] = []
        self.capacity_tokens = 232_000
        self.pace = 1.0
        self.report_count = 0
        self.is_leaving = False
        self.retry_after = ""
        self.limit_per_s = ""
        self.requests_at: list[float] = []
        self.is_dead = False
        self.crashing_parts: set[str] = set()
        self.crashes = 0
        self.on_crash: t.Callable[[Runner], None] = lambda _: None
        self.observe: t.Callable[[RunnerEvent, str], None] = lambda *_: None
        self.endless_bytes = 0
        self.server = WireServer(
            self.handle, host, is_early=lambda: self.fault is Fault.EARLY
        )

    def entry(self, **changes: t.Any) -> dict[str, t.Any]:
        """Return the row of this runner in the ``servers`` table."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        } | changes

    def has_crashing_part(self, request: WireRequest) -> bool:
        """Return whether a part of the prompt but the last crashes the runner."""
        entries = request.headers.get("x-prompt-prefix", "").split(",")
        ids = {entry.partition(":")[0].strip() for entry in entries[:-1]}
        return bool(ids & self.crashing_parts)

    def crash(self) -> None:
        """End the process: no connection is accepted, and all are reset."""
        if self.is_dead:
            return
        self.is_dead = True
        self.crashes += 1
        self.server.abort()
        self.on_crash(self)

    async def restart(self, nursery: trio.Nursery) -> None:
        """Start the process again, at the same address and under another id."""
        self.renew()
        await nursery.start(self.server.run)
        self.is_dead = False

    def renew(self) -> None:
        """Go on as another process, without closing the listening socket."""
        self.incarnation += 1
        self.id = f"{self.name}-{self.incarnation}"
        self.born_ms = _wall_clock_ms()
        self.reservation_by_id.clear()

    def active_reservations(self) -> list[str]:
        """Drop expired reservations and return the ids of the others."""
        now = trio.current_time()
        for id, reservation in list(self.reservation_by_id.items()):
            if reservation.until <= now:
                del self.reservation_by_id[id]
        return list(self.reservation_by_id)

    def available_tokens(self) -> int:
        """Return the memory that is not reserved, in tokens."""
        self.active_reservations()
        taken = sum(
            reservation.tokens for reservation in self.reservation_by_id.values()
        )
        return self.capacity_tokens - taken

    async def handle(self, connection: WireConnection, request: WireRequest) -> bool:
        """Answer one request."""
        self.requests_at.append(trio.current_time())
        if request.path == "/order":
            return await self._receive_order(connection, request)
        if request.path == "/report":
            return await self._send_report(connection)
        self.received.append(request)
        id = request.headers.get("x-request-id", "")
        self.observe(RunnerEvent.RECEIVED, id)
        self.received_at.append(trio.current_time())
        fault = self.faults.pop(0) if self.faults else self.fault
        if request.headers.get("x-expect-instance", self.id) != self.id:
            fault = Fault.MISDIRECTED
        if fault is Fault.REFUSE:
            if self.retry_after:
                self.observe(RunnerEvent.ASKED_FOR_PAUSE, id)
            self.refused_at.append(trio.current_time())
            headers = {"x-not-executed": "1", "x-request-id": id}
            headers |= self._own_headers(503)
            return await connection.answer(503, headers=headers)
        if fault is Fault.MISDIRECTED:
            headers = {"x-instance-id": self.id, "x-request-id": id}
            headers |= self._own_headers()
            return await connection.answer(421, headers=headers)
        run = Run(request)
        self.runs.append(run)
        self.observe(RunnerEvent.RAN, id)
        if fault is Fault.EARLY:
            await self._send_body(connection, request, fault, 200)
            await trio.sleep_forever()
        try:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_cancel_when_closed, connection, run, scope)
                    await self._answer_run(connection, request, fault)
                    run.ended = True
                    nursery.cancel_scope.cancel()
        finally:
            run.cancelled = not run.ended
        return False

    def _own_headers(self, status: int = 200) -> dict[str, str]:
        """Return the headers in which this runner speaks of itself."""
        headers = {"server-leaving": "1"} if self.is_leaving else {}
        if self.retry_after and status == 503:
            headers["retry-after"] = self.retry_after
        if self.limit_per_s:
            headers["server-limit"] = self.limit_per_s
        return headers

    async def _answer_run(
        self, connection: WireConnection, request: WireRequest, fault: Fault
    ) -> None:
        if fault is Fault.HANG:
            await trio.sleep_forever()
        await trio.sleep(self.work_s + self._prefill_s(request))
        if fault is Fault.DIE:
            self.is_dead = True
            self.server.stop()
        if fault in (Fault.RESET, Fault.DIE):
            connection.reset()
            return
        if fault is Fault.GARBAGE:
            await connection.send_raw(b"\x00\x01 this is no answer\r\n\r\n")
            return
        if fault in ENDLESS_BY_FAULT:
            await self._send_endless(connection, request, fault)
            return
        if self.streams and fault not in STATUS_BY_FAULT:
            await self._send_stream(connection, request, fault)
            return
        status = STATUS_BY_FAULT.get(fault, 200)
        await self._send_body(connection, request, fault, status)

    def _prefill_s(self, request: WireRequest) -> float:
        """Return the prefill time of this runner's part of the prompt, in seconds."""
        if not (self.simulates_prefill and self.streams):
            return 0.0
        tokens = int(request.headers["x-token-usage"].split(",")[0])
        helpers = request.headers.get("x-helpers", "")
        parts = 1 + len([helper for helper in helpers.split(",") if helper])
        million_pairs = tokens * tokens / 2e6
        prefill_ms = (
            tokens / PREFILL_TOKENS_PER_MS + million_pairs * MS_PER_MILLION_TOKEN_PAIRS
        )
        return self.pace * prefill_ms / parts / 1000

    async def _send_body(
        self,
        connection: WireConnection,
        request: WireRequest,
        fault: Fault,
        status: int,
    ) -> None:
        body = json.dumps({"by": self.id, "got": len(request.body)}).encode()
        head = self._response_head(request, fault, status)
        if fault in (Fault.UNFRAMED, Fault.CUT):
            await connection.send_raw(head + b"connection: close\r\n\r\n" + body)
            if fault is Fault.CUT:
                connection.reset()
            return
        if fault is Fault.LENGTH_AND_CHUNKS:
            await connection.send_raw(head + LENGTH_AND_CHUNKS + b"\r\n\r\n")
            await connection.send_raw(_chunk(body) + b"0\r\n\r\n")
            return
        sized_head = head + b"content-length: %d\r\n\r\n" % len(body)
        if fault is Fault.TRUNCATE:
            body = body[:-3]
        await connection.send_raw(sized_head + body)
        if fault is Fault.EXTRA:
            await connection.send_raw(sized_head + body)

    async def _send_stream(
        self, connection: WireConnection, request: WireRequest, fault: Fault
    ) -> None:
        events = self._stream_events(request, fault)
        framing = Framing.CLOSE if fault is Fault.UNFRAMED else self.framing
        head = (
            self._response_head(request, fault, 200)
            + b"content-type: text/event-stream\r\n"
        )
        framing_header = _framing_header(framing, events)
        if fault is Fault.LENGTH_AND_CHUNKS:
            framing_header = LENGTH_AND_CHUNKS
        await connection.send_raw(head + framing_header + b"\r\n\r\n")
        is_chunked = framing is Framing.CHUNKED
        crash_at = math.inf
        for event in events:
            await connection.send_raw(_chunk(event) if is_chunked else event)
            if crash_at == math.inf and self.has_crashing_part(request):
                crash_at = trio.current_time() + CRASH_DELAY_S
            if trio.current_time() + self.gap_s >= crash_at:
                break
            await trio.sleep(self.gap_s)
        if crash_at < math.inf:
            await trio.sleep_until(crash_at)
            self.observe(RunnerEvent.CRASHED, request.headers["x-request-id"])
            self.crash()
        elif fault in (Fault.CUT, Fault.RESET_LATE, Fault.BAD_ID):
            connection.reset()
        elif is_chunked:
            await connection.send_raw(b"0\r\n\r\n")

    def _stream_events(self, request: WireRequest, fault: Fault) -> list[bytes]:
        first_number = int(request.headers.get("last-event-id") or 0) + 1
        events = [
            b"id: %d\ndata: token-%d\n\n" % (number, number)
            for number in range(first_number, self.events + 1)
        ]
        if fault in (Fault.CUT, Fault.PARTIAL):
            return [*events[:1], *(event[:-5] for event in events[1:2])]
        if fault is Fault.RESET_LATE:
            return events[:2]
        if fault is Fault.BAD_ID:
            return [*events[:1], b"id: \x00\x01\n\n"]
        return [] if fault is Fault.EMPTY else events

    async def _send_endless(
        self, connection: WireConnection, request: WireRequest, fault: Fault
    ) -> None:
        endless = ENDLESS_BY_FAULT[fault]
        if endless.has_head:
            await connection.send_raw(self._response_head(request, fault, 200))
        await connection.send_raw(endless.start)
        # The caller closes its connection at last, which breaks this one.
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                await connection.send_raw(endless.repeated)
                self.endless_bytes += len(endless.repeated)
                await trio.sleep(endless.pause_s)

    def _response_head(self, request: WireRequest, fault: Fault, status: int) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        id = "another-request" if fault is Fault.OTHER_ID else request_id
        lines = [
            f"HTTP/1.1 {status} whatever",
            f"X-Request-Id: {id}",
            f"X-Server-Seal: {self.id}.{len(self.runs)}",
        ]
        if self.is_leaving:
            self.observe(RunnerEvent.SAID_LEAVING, request_id)
        if self.limit_per_s:
            self.observe(RunnerEvent.NAMED_LIMIT, request_id)
        own_headers = self._own_headers(status)
        lines += [f"{name}: {value}" for name, value in own_headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n"

    async def _send_report(self, connection: WireConnection) -> bool:
        running = sum(not (run.ended or run.cancelled) for run in self.runs)
        report = {"pace": self.pace, "queued": 0, "running": running, "kv_used": 0}
        self.report_count += 1
        body = json.dumps(report).encode()
        return await connection.answer(200, body, self._own_headers())

    async def _receive_order(
        self, connection: WireConnection, request: WireRequest
    ) -> bool:
        order = request.json()
        headers = self._own_headers()
        self.orders.append(order)
        if order["operation"] == "release":
            self.reservation_by_id.pop(order["id"], None)
            return await connection.answer(200, b"{}", headers)
        if (
            order["id"] not in self.active_reservations()
            and order["tokens"] > self.available_tokens()
        ):
            return await connection.answer(409, b"{}", headers)
        until = trio.current_time() + order["hold_ms"] / 1000
        self.reservation_by_id[order["id"]] = Reservation(order["tokens"], until)
        body = json.dumps({"free": self.available_tokens()}).encode()
        return await connection.answer(200, body, headers)


@dataclasses.dataclass(frozen=True)
class EndlessAnswer:
    """Bytes that are sent until the caller closes the connection.

    :param start: sent once; the head of a response comes before it, if ``has_head``.
    :param pause_s: time between two repetitions.
    """

    start: bytes
    repeated: bytes
    has_head: bool = True
    pause_s: float = 0.0


_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_INFORMATIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"
_FILLER = b"x" * 65_536
_DRIP_S = 0.05
ENDLESS_BY_FAULT = {
    Fault.ENDLESS_HEAD: EndlessAnswer(b"x-filler: ", _FILLER),
    Fault.ENDLESS_INFORMATIONAL: EndlessAnswer(
        b"", _INFORMATIONAL * 1_000, has_head=False
    ),
    Fault.ENDLESS_BODY: EndlessAnswer(b"\r\n", _FILLER),
    Fault.ENDLESS_CHUNKS: EndlessAnswer(_CHUNKED, b"1\r\nx\r\n" * 10_000),
    Fault.ENDLESS_CHUNK_HEADER: EndlessAnswer(_CHUNKED + b"5;x=", _FILLER),
    Fault.ENDLESS_TRAILERS: EndlessAnswer(_CHUNKED + b"0\r\nx: ", _FILLER),
    Fault.DRIPPED_HEAD: EndlessAnswer(b"x-filler: ", b"x", pause_s=_DRIP_S),
    Fault.DRIPPED_INFORMATIONAL: EndlessAnswer(
        b"", _INFORMATIONAL, has_head=False, pause_s=_DRIP_S
    ),
    Fault.DRIPPED_BODY: EndlessAnswer(b"\r\n", b"x", pause_s=_DRIP_S),
}


async def _cancel_when_closed(
    connection: WireConnection, run: Run, scope: trio.CancelScope
) -> None:
    with contextlib.suppress(
        OSError, trio.BrokenResourceError, trio.ClosedResourceError
    ):
        await connection.wait_closed()
    run.cancelled = not run.ended
    scope.cancel()


def _wall_clock_ms() -> int:
    return int(time.time() * 1000)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


def _framing_header(framing: Framing, events: list[bytes]) -> bytes:
    if framing is Framing.CHUNKED:
        return b"transfer-encoding: chunked"
    if framing is Framing.LENGTH:
        return b"content-length: %d" % sum(len(event) for event in events)
    return b"connection: close"
