"""Implements the HTTP client port with httpcore."""

import contextlib
import typing as t

import httpcore

from ..errors import ExchangeBrokenError, NothingSentError
from ..ports import HttpRequest

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
MAX_CONNECTIONS = 2000
MAX_IDLE_CONNECTIONS = 100
KEEPALIVE_EXPIRY_S = 30.0


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

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        with _translate_errors(self._url):
            async for chunk in self._response.aiter_stream():
                yield chunk

    async def read(self) -> bytes:
        """Return the whole body."""
        with _translate_errors(self._url):
            return await self._response.aread()


class HttpcoreClient:
    """HTTP client with two pools.

    One pool reuses connections; the other opens a new one for each request.
    """

    def __init__(self, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._keepalive_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            network_backend=backend,
        )
        self._single_use_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=0,
            network_backend=backend,
        )

    @contextlib.asynccontextmanager
    async def exchange(self, request: HttpRequest) -> t.AsyncIterator[HttpcoreResponse]:
        """Send a request and return its response as a context manager."""
        pool = self._single_use_pool if request.new_connection else self._keepalive_pool
        with _translate_errors(request.url):
            stream = pool.stream(
                request.method,
                request.url,
                headers=dict(request.headers),
                content=request.body,
                extensions={"timeout": _timeouts(request)},
            )
            async with stream as response:
                yield HttpcoreResponse(response, request.url)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._keepalive_pool.aclose()
        await self._single_use_pool.aclose()


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
