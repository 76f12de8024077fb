"""Implements the HTTP client port with httpcore."""

import contextlib
import typing as t
import urllib.parse

import httpcore
import trio

from ..errors import ExchangeBrokenError, NothingSentError, ResponseTooLargeError
from ..ports import HttpRequest, TakeRoom, take_nothing
from ._checked_network import CheckedNetwork

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
MAX_CONNECTIONS = 2000
MAX_IDLE_CONNECTIONS = 100
KEEPALIVE_EXPIRY_S = 30.0
MAX_BODY_BYTES = 33_554_432  # of a response that is read whole
MAX_STATUS = 599
HEAD_AWAITED_EVENT = "http11.receive_response_headers.started"
HEAD_COMPLETE_EVENT = "http11.receive_response_headers.complete"


class HttpcoreResponse:
    """An httpcore response whose body has not been read."""

    def __init__(self, response: httpcore.Response, url: str) -> None:
        self._response = response
        self._url = url
        self.status = response.status
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }

    async def chunks(self) -> t.AsyncGenerator[bytes, None]:
        """Iterate over the body as it arrives."""
        with _translate_errors(self._url):
            async with contextlib.aclosing(self._response.aiter_stream()) as chunks:
                async for chunk in chunks:
                    yield chunk

    async def read(self, take_room: TakeRoom = take_nothing) -> bytes:
        """Return the whole body.

        :param take_room: takes room for each part before more is read.
        :raises ResponseTooLargeError: it is longer than ``MAX_BODY_BYTES``.
        """
        parts = []
        size = 0
        async with contextlib.aclosing(self.chunks()) as chunks:
            async for chunk in chunks:
                parts.append(chunk)
                size += len(chunk)
                if size > MAX_BODY_BYTES:
                    raise ResponseTooLargeError(
                        f'the body of the response of "{self._url}" is longer than '
                        f"{MAX_BODY_BYTES} bytes"
                    )
                await take_room(len(chunk))
        return b"".join(parts)


class HttpcoreClient:
    """HTTP client with two pools.

    One pool reuses connections; the other opens a new one for each request.
    """

    def __init__(self, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        network = CheckedNetwork(backend)
        self._keepalive_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            network_backend=network,
        )
        self._single_use_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=0,
            network_backend=network,
        )

    @contextlib.asynccontextmanager
    async def exchange(self, request: HttpRequest) -> t.AsyncIterator[HttpcoreResponse]:
        """Send a request and return its response as a context manager."""
        _check_url(request.url)
        with trio.move_on_after(request.total_timeout_s) as scope:
            async with self._stream(request, scope) as response:
                yield HttpcoreResponse(response, request.url)
        if scope.cancelled_caught:
            raise ExchangeBrokenError(f'"{request.url}" took too long to respond')

    @contextlib.asynccontextmanager
    async def _stream(
        self, request: HttpRequest, scope: trio.CancelScope
    ) -> t.AsyncIterator[httpcore.Response]:
        pool = self._single_use_pool if request.new_connection else self._keepalive_pool
        with _translate_errors(request.url):
            stream = pool.stream(
                request.method,
                request.url,
                headers=dict(request.headers),
                content=request.body,
                extensions={
                    "timeout": _timeouts(request),
                    "trace": _HeadTimeout(scope, request.idle_timeout_s),
                },
            )
            async with stream as response:
                if response.status > MAX_STATUS:
                    raise ExchangeBrokenError(
                        f'"{request.url}" sent {response.status}, which is no status'
                    )
                yield response

    async def aclose(self) -> None:
        """Close all connections."""
        await self._keepalive_pool.aclose()
        await self._single_use_pool.aclose()


def _check_url(url: str) -> None:
    """Check that a URL names an address; httpcore's errors for others are of any type.

    :raises NothingSentError: its host can't be encoded, its port is out of range, or it
        has no scheme of HTTP.
    """
    try:
        parts = urllib.parse.urlsplit(url)
        (parts.hostname or "").encode("idna")
        is_usable = parts.scheme in ("http", "https") and parts.port != 0
    except ValueError as error:
        raise NothingSentError(f'"{url:.200}" names no address: {error}') from error
    if not is_usable:
        raise NothingSentError(f'"{url:.200}" names no address of HTTP')


class _HeadTimeout:
    """Lets a response's head take only so long; httpcore bounds each read of it.

    :param scope: cancelled when the time is over.
    """

    def __init__(self, scope: trio.CancelScope, timeout_s: float) -> None:
        self._scope = scope
        self._timeout_s = timeout_s
        self._total_deadline = scope.deadline

    async def __call__(self, event: str, info: dict[str, t.Any]) -> None:
        """Receive an event of httpcore's ``trace`` extension."""
        if event == HEAD_AWAITED_EVENT:
            head_deadline = trio.current_time() + self._timeout_s
            self._scope.deadline = min(head_deadline, self._total_deadline)
        elif event == HEAD_COMPLETE_EVENT:
            self._scope.deadline = self._total_deadline


def _timeouts(request: HttpRequest) -> dict[str, float]:
    return {
        "connect": request.connect_timeout_s,
        "pool": request.connect_timeout_s,
        "read": request.idle_timeout_s,
        "write": request.idle_timeout_s,
    }


@contextlib.contextmanager
def _translate_errors(url: str) -> t.Iterator[None]:
    """Raise the port's errors in place of those of httpcore."""
    try:
        yield
    except NOT_SENT_ERRORS as error:
        refused = isinstance(error, httpcore.ConnectError)
        raise NothingSentError(
            f'"{url}" was not reached: {error!r}', connection_refused=refused
        ) from error
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise ExchangeBrokenError(f'"{url}" broke off: {error!r}') from error
