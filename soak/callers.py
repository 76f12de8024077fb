"""Callers that keep their connections, and the history of what they saw."""

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
class Asked:
    """One request and what its caller saw.

    :param status: 0 without an answer.
    :param answer_id: the request id that the answer bears.
    :param is_whole: the answer came to its end.
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
        """The ids of the events that arrived."""
        lines = self.body.decode("latin-1").splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class Caller:
    """Sends one request after the other to instances that are ready."""

    def __init__(self, number: int, fleet, rng: random.Random, history: list[Asked]):
        self._number = number
        self._fleet = fleet
        self._rng = rng
        self._history = history
        self._stream: trio.SocketStream | None = None
        self._http: h11.Connection | None = None
        self._instance = ""

    async def run(self) -> None:
        """Ask until cancelled."""
        for counter in itertools.count():
            await trio.sleep(self._rng.uniform(0.0, 0.1))
            path = self._rng.choice(PATHS)
            asked = Asked(f"{self._number:04x}{counter:012x}", path, "", 0.0)
            if self._stream is None and not await self._connect():
                continue
            await self._ask(asked)

    async def _connect(self) -> bool:
        self._instance = self._rng.choice(list(self._fleet.fronts))
        host, port = self._fleet.fronts[self._instance]
        with trio.move_on_after(1.0):
            try:
                self._stream = await trio.open_tcp_stream(host, port)
            except OSError:
                await trio.sleep(0.1)
                return False
        self._http = h11.Connection(h11.CLIENT)
        return self._stream is not None

    async def _ask(self, asked: Asked) -> None:
        asked.instance = self._instance
        asked.at = trio.current_time()
        self._history.append(asked)
        with trio.move_on_after(DEADLINE_S + ANSWER_SLACK_S):
            try:
                await self._stream.send_all(self._bytes(asked))
                await self._read(asked)
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                asked.is_whole = False
        asked.took_s = trio.current_time() - asked.at
        await self._after(asked)

    async def _after(self, asked: Asked) -> None:
        keeps = asked.is_whole and self._http.our_state is h11.DONE
        if keeps and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return
        await trio.aclose_forcefully(self._stream)
        self._stream = None

    def _bytes(self, asked: Asked) -> bytes:
        tokens = "300000,200" if asked.path == "/stream/long" else "1460,80"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", asked.id),
            ("X-Deadline-Ms", str(int(DEADLINE_S * 1000))),
            ("X-Token-Usage", tokens),
            ("Authorization", f"Token {KEY}"),
            ("Content-Length", "5"),
        ]
        request = h11.Request(method="POST", target=asked.path, headers=headers)
        data = self._http.send(request) + self._http.send(h11.Data(data=b"hello"))
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _read(self, asked: Asked) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(65536)
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                asked.status = event.status_code
                headers = dict(event.headers)
                asked.answer_id = headers.get(b"x-request-id", b"").decode()
            elif isinstance(event, h11.Data):
                asked.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                asked.is_whole = True
                return
            else:
                return
