"""The HTTP client port over httpcore."""

import contextlib
import typing as t

import httpcore

from ..errors import ExchangeBrokenError, NothingSentError
from ..ports import HttpRequest

NOT_WRITTEN = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
MAX_CONNECTIONS = 2000
KEPT_CONNECTIONS = 100
KEEP_S = 30.0


class HttpcoreResponse:
    """A response that arrives over httpcore."""

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
        with _as_broken(self._url):
            async for chunk in self._response.aiter_stream():
                yield chunk

    async def read(self) -> bytes:
        """Return the whole body."""
        with _as_broken(self._url):
            return await self._response.aread()


class HttpcoreClient:
    """Two pools: one that keeps connections, one that opens each anew."""

    def __init__(self, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._kept = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=KEPT_CONNECTIONS,
            keepalive_expiry=KEEP_S,
            network_backend=backend,
        )
        self._fresh = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=0,
            network_backend=backend,
        )

    @contextlib.asynccontextmanager
    async def exchange(self, request: HttpRequest) -> t.AsyncIterator[HttpcoreResponse]:
        """Send a request and hand out its response."""
        pool = self._fresh if request.fresh else self._kept
        with _as_broken(request.url):
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
        await self._kept.aclose()
        await self._fresh.aclose()


def _timeouts(request: HttpRequest) -> dict[str, float]:
    return {
        "connect": request.connect_s,
        "pool": request.connect_s,
        "read": request.idle_s,
        "write": request.idle_s,
    }


@contextlib.contextmanager
def _as_broken(url: str) -> t.Iterator[None]:
    try:
        yield
    except NOT_WRITTEN as error:
        refused = isinstance(error, httpcore.ConnectError)
        raise NothingSentError(
            f'"{url}" was not reached: {error!r}', refused=refused
        ) from error
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise ExchangeBrokenError(f'"{url}" broke off: {error!r}') from error
