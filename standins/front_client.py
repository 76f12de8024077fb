"""A client of an instance, for tests."""

import contextlib
import dataclasses
import typing as t

import h11
import trio

if t.TYPE_CHECKING:
    from .front_world import FrontWorld

HOST = "calls.example"
KEY = "key-1"
PART_TOKENS = 100


@dataclasses.dataclass
class Reply:
    """An answer as received by a client.

    :param is_truncated: the answer ended before it was complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_truncated: bool = False


class Client:
    """A client connection to an instance."""

    def __init__(self, stream: trio.SocketStream, world: "FrontWorld") -> None:
        self.stream = stream
        self._world = world
        self._http = h11.Connection(h11.CLIENT)

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stream.aclose()

    def encode_request(
        self,
        path: str,
        body: bytes = b"",
        key: str | None = KEY,
        headers: dict[str, str] | None = None,
        method: str = "POST",
        host: str = HOST,
        parts: tuple[str, ...] = (),
    ) -> bytes:
        """Return the bytes of an HTTP request.

        :param key: API key; ``None`` sends no credentials.
        :param headers: added to the usual headers or in place of them.
        :param parts: ids of the parts of the prompt, in order.
        """
        fields = {
            "Host": host,
            "X-Request-Id": self._world.new_id(),
            "X-Deadline-Ms": "3000",
            "Content-Length": str(len(body)),
        }
        if path.startswith("/stream/"):
            fields["X-Token-Usage"] = "1460,80"
        if parts:
            fields["X-Prompt-Prefix"] = ",".join(f"{id}:{PART_TOKENS}" for id in parts)
        if key:
            fields["Authorization"] = f"Token {key}"
        fields |= headers or {}
        request = h11.Request(method=method, target=path, headers=list(fields.items()))
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(data=body))
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def ask(self, path: str, **options: t.Any) -> Reply:
        """Send a request and return the answer."""
        await self.stream.send_all(self.encode_request(path, **options))
        return await self.reply()

    async def reply(self) -> Reply:
        """Read one answer from the connection."""
        reply = Reply(0, {}, b"")
        while True:
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self.stream.receive_some(65536))
                    continue
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                reply.is_truncated = True
                return reply
            if isinstance(event, h11.Response):
                reply.status = event.status_code
                reply.headers = {
                    name.decode(): value.decode() for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                reply.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._http.our_state is h11.DONE:
                    with contextlib.suppress(h11.LocalProtocolError):
                        self._http.start_next_cycle()
                return reply
            else:
                reply.is_truncated = True
                return reply
