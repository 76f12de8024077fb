"""Callers that reuse connections, and the records of their requests."""

import dataclasses
import itertools
import random

import h11
import trio

from standins.front_world import HOST, KEY

DEADLINE_S = 3.0
ANSWER_SLACK_S = 1.5
STREAM_EVENTS = 4
PATHS = ("/stream/x", "/stream/long", "/safe/x", "/unsafe/x")


@dataclasses.dataclass
class RequestRecord:
    """One request and its answer as observed by the caller.

    :param instance: name of the instance to which it was sent.
    :param at: time at which it was sent, in seconds.
    :param took_s: seconds until the end of the answer.
    :param status: HTTP status; 0 without an answer.
    :param answer_id: request id in the headers of the answer.
    :param is_whole: whether the answer arrived completely.
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

    @property
    def event_ids(self) -> list[int]:
        """The ids of the events that were received."""
        lines = self.body.decode("latin-1").splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class Caller:
    """Sends requests one after another to randomly chosen instances."""

    def __init__(
        self, number: int, fleet, rng: random.Random, history: list[RequestRecord]
    ):
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
            await trio.sleep(self._rng.uniform(0.0, 0.1))
            path = self._rng.choice(PATHS)
            record = RequestRecord(f"{self._number:04x}{counter:012x}", path, "", 0.0)
            if self._stream is None and not await self._connect():
                continue
            await self._send(record)

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
        record.at = trio.current_time()
        self._history.append(record)
        with trio.move_on_after(DEADLINE_S + ANSWER_SLACK_S):
            try:
                await self._stream.send_all(self._encode_request(record))
                await self._read_response(record)
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                record.is_whole = False
        record.took_s = trio.current_time() - record.at
        await self._finish_exchange(record)

    async def _finish_exchange(self, record: RequestRecord) -> None:
        is_complete = record.is_whole and self._http.our_state is h11.DONE
        if is_complete and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
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
