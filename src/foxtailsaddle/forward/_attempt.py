"""One attempt at one endpoint: send, and judge the head of the answer."""

import contextlib
import typing as t

import h11
import trio

from ..core import AttemptOutcome, EndpointId, Job, JobId
from ..errors import (
    ExchangeBrokenError,
    FoxtailsaddleError,
    NothingSentError,
)
from ..ports import AnswerHead, Dispatch, Headers, Wire
from ._call import Call
from ._exchange import Exchange
from ._fleet import Fleet
from ._nursery import ungrouped

CONNECT_S = 0.4
MIN_CONNECT_S = 0.05


class RefusedError(FoxtailsaddleError):
    """The endpoint states that it did not run the request.

    :param fault_at: address of the endpoint that it is due to, if named.
    """

    code = "refused_by_endpoint"
    status = 503

    def __init__(self, message: str, status: int, fault_at: str) -> None:
        super().__init__(message)
        self.answer_status = status
        self.fault_at = fault_at


class Attempt:
    """A request at one endpoint, from its place in the book to its end there.

    Used as a context manager: whatever happens inside, the connection is closed,
    which cancels the request at the endpoint, and its place is given back.
    """

    def __init__(
        self, fleet: Fleet, wire: Wire, call: Call, job: Job, writing_ms: float
    ) -> None:
        self._fleet = fleet
        self._wire = wire
        self._call = call
        self._writing_ms = writing_ms
        self._exchange: Exchange | None = None
        self._sent = trio.Event()
        self.job = job
        self.outcome = AttemptOutcome.NEUTRAL
        self.blamed: EndpointId = job.endpoint

    def __enter__(self) -> "Attempt":
        self._fleet.place(self.job, self._writing_ms, trio.current_time())
        return self

    def __exit__(self, *_: object) -> None:
        if self._exchange is not None:
            self._exchange.close()
        now = trio.current_time()
        self._fleet.end(self.job.id, self.blamed, self.outcome, now)

    @contextlib.asynccontextmanager
    async def sending(self, address: str, dispatch: Dispatch) -> t.AsyncIterator[None]:
        """Connect, and send the request while the answer is read inside.

        :raises NothingSentError: the endpoint was not reached.
        """
        call = self._call
        left_s = call.left_s(trio.current_time())
        try:
            connect_s = max(MIN_CONNECT_S, min(CONNECT_S, left_s))
            self._exchange = await Exchange.open(address, connect_s)
        except NothingSentError:
            self.outcome = AttemptOutcome.UNREACHED
            raise
        headers = self._wire.endpoint_headers(call.headers, dispatch)
        call.runs += 1
        with ungrouped():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, headers)
                yield
                nursery.cancel_scope.cancel()

    async def _send(self, headers: Headers) -> None:
        call = self._call
        # The endpoint may have answered before it read the whole body.
        with contextlib.suppress(ExchangeBrokenError):
            await self._exchange.send(call.method, call.target, headers, call.body)

    async def head(self) -> tuple[h11.Response, AnswerHead]:
        """Return the head of this request's answer.

        :raises RefusedError: the endpoint did not run the request.
        :raises ExchangeBrokenError: the answer is missing or another's.
        """
        response = await self._broken_as_failed(self._exchange.head())
        answer = self._wire.read_answer(response.status_code, list(response.headers))
        if answer.request_id and answer.request_id != self._call.request.id:
            self.outcome = AttemptOutcome.FAILED
            raise ExchangeBrokenError(f'"{self.job.endpoint}" answered another request')
        if answer.refused:
            self._call.runs -= 1
            raise RefusedError(
                f'"{self.job.endpoint}" refused the request',
                answer.status,
                answer.fault_at,
            )
        return response, answer

    @property
    def is_framed(self) -> bool:
        """Whether the answer states where it ends."""
        return self._exchange.is_framed

    async def data(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` once it is whole."""
        return await self._broken_as_failed(self._exchange.data())

    async def body(self) -> bytes:
        """Return the whole body."""
        return await self._broken_as_failed(self._exchange.body())

    async def _broken_as_failed(self, step: t.Awaitable[t.Any]) -> t.Any:
        try:
            return await step
        except ExchangeBrokenError:
            self.outcome = AttemptOutcome.FAILED
            raise


class JobIds:
    """Numbers for jobs that no two instances share.

    :param origin: 32 bits that are this run of this instance's own.
    """

    def __init__(self, origin: int) -> None:
        self._next = (origin & 0xFFFFFFFF) << 32

    def new(self) -> JobId:
        """Return the next number."""
        self._next += 1
        return JobId(self._next)
