"""Callers that reuse connections, and the records of their requests."""

import dataclasses
import itertools
import random
import time
import typing as t

import h11
import trio

from standins.front_world import HOST, KEY

from .fleet import CRASHING_PART, SoakFleet
from .limits import Limits

DEADLINE_S = 3.0
# How long after the deadline a caller still waits for the answer.
ANSWER_SLACK_S = 1.5
STREAM_EVENTS = 4
CRASHING_SHARE = 0.1  # of the streams, once such prompts are sent at all
HELD_SHARE = 0.3  # of the connections, held for long before the next request
HOLD_SHARES = (0.4, 0.8)  # of the idle timeout
SLOW_HEAD_SHARE = 0.1  # of the requests
SLOW_HEAD_PAUSE_SHARES = (0.2, 0.8)  # of the header timeout
POLL_S = 0.02
PATHS = ("/stream/x", "/stream/long", "/safe/x", "/unsafe/x")


@dataclasses.dataclass
class RequestRecord:
    """One request and its answer as observed by the caller.

    :param id: id that the caller sent with the request.
    :param instance: name of the instance to which it was sent.
    :param at: time at which it was sent, in seconds.
    :param took_s: seconds until the end of the answer.
    :param status: HTTP status; 0 without an answer.
    :param answer_id: request id in the headers of the answer.
    :param is_whole: whether the answer arrived completely.
    :param idle_s: seconds for which its connection had been kept; 0 for a new one.
    :param crashes: whether a part of its prompt crashes runners.
    :param has_ended: the caller waited until the end, and was not stopped before.
    """

    id: str
    path: str
    instance: str
    at: float
    took_s: float = 0.0
    status: int = 0
    answer_id: str = ""
    is_whole: bool = False
    body: bytes = b""
    idle_s: float = 0.0
    crashes: bool = False
    has_ended: bool = False

    @property
    def ended_at(self) -> float:
        """The time at which the answer ended."""
        return self.at + self.took_s

    @property
    def event_ids(self) -> list[int]:
        """The ids of the events that were received."""
        lines = self.body.decode("latin-1").splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class Caller:
    """Sends requests one after another to randomly chosen instances.

    :param limits: returns the limits that clients go by at present.
    :param sends_crashing: returns whether prompts that crash runners are sent now.
    """

    def __init__(
        self,
        number: int,
        fleet: SoakFleet,
        rng: random.Random,
        history: list[RequestRecord],
        limits: t.Callable[[], Limits],
        sends_crashing: t.Callable[[], bool],
    ):
        self._limits = limits
        self._sends_crashing = sends_crashing
        self._idle_since = 0.0
        self._number = number
        self._fleet = fleet
        self._rng = rng
        self._history = history
        self._stream: trio.SocketStream | None = None
        self._http: h11.Connection | None = None
        self._instance = ""

    async def run(self) -> None:
        """Send requests until cancelled."""
        for counter in itertools.count():
            await self._pause()
            path = self._rng.choice(PATHS)
            record = RequestRecord(f"{self._number:04x}{counter:012x}", path, "", 0.0)
            if path.startswith("/stream") and self._sends_crashing():
                record.crashes = self._rng.random() < CRASHING_SHARE
            if self._stream is not None:
                record.idle_s = time.monotonic() - self._idle_since
            elif not await self._connect():
                continue
            await self._send(record)

    async def _pause(self) -> None:
        """Wait before the next request, sometimes almost for the idle timeout."""
        if self._stream is None or self._rng.random() >= HELD_SHARE:
            await trio.sleep(self._rng.uniform(0.0, 0.1))
            return
        share = self._rng.uniform(*HOLD_SHARES)
        while (
            time.monotonic() - self._idle_since < share * self._limits().idle_timeout_s
        ):
            await trio.sleep(POLL_S)

    async def _connect(self) -> bool:
        self._instance = self._rng.choice(list(self._fleet.front_addresses))
        host, port = self._fleet.front_addresses[self._instance]
        with trio.move_on_after(1.0):
            try:
                self._stream = await trio.open_tcp_stream(host, port)
            except OSError:
                await trio.sleep(0.1)
                return False
        self._http = h11.Connection(h11.CLIENT)
        return self._stream is not None

    async def _send(self, record: RequestRecord) -> None:
        record.instance = self._instance
        record.at = time.monotonic()
        self._history.append(record)
        with trio.move_on_after(DEADLINE_S + ANSWER_SLACK_S):
            try:
                await self._send_request(self._encode_request(record))
                await self._read_response(record)
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                record.is_whole = False
        record.took_s = time.monotonic() - record.at
        record.has_ended = True
        await self._finish_exchange(record)

    async def _send_request(self, data: bytes) -> None:
        if self._rng.random() < SLOW_HEAD_SHARE:
            await self._stream.send_all(data[:40])
            share = self._rng.uniform(*SLOW_HEAD_PAUSE_SHARES)
            await trio.sleep(share * self._limits().header_timeout_s)
            data = data[40:]
        await self._stream.send_all(data)

    async def _finish_exchange(self, record: RequestRecord) -> None:
        is_complete = record.is_whole and self._http.our_state is h11.DONE
        if is_complete and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._idle_since = time.monotonic()
            return
        await trio.aclose_forcefully(self._stream)
        self._stream = None

    def _encode_request(self, record: RequestRecord) -> bytes:
        tokens = "300000,200" if record.path == "/stream/long" else "1460,80"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", record.id),
            ("X-Deadline-Ms", str(int(DEADLINE_S * 1000))),
            ("X-Token-Usage", tokens),
            ("X-Prompt-Prefix", _prompt_parts(record)),
            ("Authorization", f"Token {KEY}"),
            ("Content-Length", "5"),
        ]
        request = h11.Request(method="POST", target=record.path, headers=headers)
        data = self._http.send(request) + self._http.send(h11.Data(data=b"hello"))
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _read_response(self, record: RequestRecord) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(65536)
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                record.status = event.status_code
                headers = dict(event.headers)
                record.answer_id = headers.get(b"x-request-id", b"").decode()
            elif isinstance(event, h11.Data):
                record.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                record.is_whole = True
                return
            else:
                return


def _prompt_parts(record: RequestRecord) -> str:
    """Return the parts of a prompt; all prompts share the first one."""
    middle = f"{CRASHING_PART}:400" if record.crashes else "c0de:400"
    return f"5eed:600,{middle},{record.id}:460"
