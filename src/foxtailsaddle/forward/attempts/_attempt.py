"""One attempt to run a request at one endpoint."""

import contextlib
import typing as t

import h11
import trio

from ...core import NO_LIMIT, AttemptOutcome, EndpointId, Job, JobId, ListedEndpoint
from ...errors import ExchangeBrokenError, FoxtailsaddleError, NothingSentError
from ...ports import Dispatch, HeaderCodec, ResponseHead
from .._fleet import FleetState
from .._request_context import RequestContext
from ..transport import Exchange, unwrap_error_group
from ._notices import record_limit, record_notice

CONNECT_TIMEOUT_S = 0.4
MIN_CONNECT_TIMEOUT_S = 0.05
SERVER_ERROR = 500


class RefusedError(FoxtailsaddleError):
    """The endpoint states that it did not run the request.

    :param status: status of the response.
    :param failed_address: address of the endpoint that caused the refusal, which
        may be a helper; empty when the response does not name one.
    """

    code = "refused_by_endpoint"
    status = 503

    def __init__(self, message: str, status: int, failed_address: str) -> None:
        super().__init__(message)
        self.response_status = status
        self.failed_address = failed_address


class Attempt:
    """One attempt to run a request at one endpoint.

    Used as a context manager. On entry the job is recorded as load of its engines.
    On exit the connection is closed, which cancels a request that still runs, and
    the job and its outcome are recorded as ended.

    :param decode_ms: expected time from the first event to the last, in
        milliseconds.
    :param is_announced: the other instances are told of the job.
    :ivar outcome: what the attempt says about the health of ``outcome_endpoint``.
    :ivar is_withheld: the other instances are not told of the outcome, since the path
        to the endpoint may be at fault.
    :ivar outcome_endpoint: the endpoint that the outcome is counted for.
    """

    def __init__(
        self,
        fleet: FleetState,
        header_codec: HeaderCodec,
        context: RequestContext,
        job: Job,
        decode_ms: float,
        is_announced: bool = True,
    ) -> None:
        self._is_announced = is_announced
        self._fleet = fleet
        self._header_codec = header_codec
        self._context = context
        self._decode_ms = decode_ms
        self._exchange: Exchange | None = None
        self._entry: ListedEndpoint | None = None
        self._sent_at = 0.0
        self.job = job
        self.outcome = AttemptOutcome.NEUTRAL
        self.is_withheld = False
        self.outcome_endpoint: EndpointId = job.endpoint

    def __enter__(self) -> "Attempt":
        now = trio.current_time()
        self._fleet.place(self.job, self._decode_ms, now, self._is_announced)
        return self

    def __exit__(self, *_: object) -> None:
        if self._exchange is not None:
            self._exchange.close()
        now = trio.current_time()
        self._fleet.end(
            self.job.id,
            self.outcome_endpoint,
            self.outcome,
            now,
            self._is_announced,
            self.is_withheld,
        )

    @contextlib.asynccontextmanager
    async def sending(
        self, entry: ListedEndpoint, dispatch: Dispatch
    ) -> t.AsyncIterator[None]:
        """Connect and send the request; the block of the context reads the response.

        The request is sent concurrently, since an endpoint may respond before it has
        read the whole body.

        :raises NothingSentError: the endpoint was not reached, or it or a helper may
            no longer be sent anything new.
        """
        self._entry = entry
        context = self._context
        remaining_s = context.remaining_s(trio.current_time())
        try:
            connect_timeout_s = max(
                MIN_CONNECT_TIMEOUT_S, min(CONNECT_TIMEOUT_S, remaining_s)
            )
            self._exchange = await Exchange.open(
                entry.address, connect_timeout_s, connect=self._fleet.connect
            )
        except NothingSentError as error:
            self.outcome = AttemptOutcome.UNREACHABLE
            self.is_withheld = not error.is_confirmed
            raise
        if self._exchange.relay is not None:
            context.log_fields["relay"] = self._exchange.relay
        self._check_eligible()
        headers = self._header_codec.endpoint_headers(context.headers, dispatch)
        # The response may begin before the sender does.
        self._exchange.prepare(context.method, context.target, headers, context.body)
        context.possible_runs += 1
        self._sent_at = trio.current_time()
        with unwrap_error_group():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send)
                yield
                nursery.cancel_scope.cancel()

    def _check_eligible(self) -> None:
        """Check that no endpoint has become ineligible since it was chosen.

        :raises NothingSentError: one of them is to get nothing.
        """
        now = trio.current_time()
        for endpoint in self.job.engines:
            entry = self._fleet.endpoints.get(endpoint)
            if entry is not None and not self._fleet.is_eligible(entry, now):
                raise NothingSentError(f'"{endpoint}" is not to be sent anything')

    async def _send(self) -> None:
        # The endpoint may have responded before it read the whole body; the reader
        # of the response reports a broken connection.
        with contextlib.suppress(ExchangeBrokenError):
            await self._exchange.send_prepared()

    async def receive_head(self) -> tuple[h11.Response, ResponseHead]:
        """Return the head of the response, raw and decoded.

        :raises RefusedError: the endpoint did not run the request.
        :raises ExchangeBrokenError: no response came, it belongs to another request or
            may do so, or it says without proof that the request did not run.
        """
        response = await self._record_broken(self._exchange.receive_head())
        response_head = self._header_codec.read_response(
            response.status_code, list(response.headers)
        )
        record_notice(self._fleet, self._entry, response_head.notice)
        if (
            response_head.request_id
            and response_head.request_id != self._context.request.id
        ):
            self.outcome = AttemptOutcome.FAILED
            raise ExchangeBrokenError(
                f'"{self.job.endpoint}" sent the response to another request'
            )
        self._record_limit(response_head)
        if response_head.refused:
            self._check_own_refusal(response_head)
            self._context.possible_runs -= 1
            raise RefusedError(
                f'"{self.job.endpoint}" refused the request',
                response_head.status,
                response_head.failed_address,
            )
        if response_head.lacks_proof and not self._context.route.repeatable:
            self.outcome = AttemptOutcome.FAILED
            raise ExchangeBrokenError(
                f'"{self.job.endpoint}" responded with {response_head.status} and '
                "without proof that the request did not run"
            )
        return response, response_head

    def _check_own_refusal(self, response_head: ResponseHead) -> None:
        """Check that a refusal is the response to this request, and no earlier one.

        :raises ExchangeBrokenError: it doesn't bear the id of the request, which may
            have run.
        """
        if response_head.request_id != self._context.request.id:
            self.outcome = AttemptOutcome.FAILED
            raise ExchangeBrokenError(
                f'"{self.job.endpoint}" refused with {response_head.status} and '
                "without the id of the request"
            )

    def _record_limit(self, response_head: ResponseHead) -> None:
        """Record the endpoint's limit.

        It has ended if a successful response doesn't name it, to a request that was
        sent after the limit was last heard.
        """
        notice = response_head.notice
        if notice.limit_per_s is not None:
            record_limit(self._fleet, self._entry, notice.limit_per_s)
            return
        heard_at = self._fleet.endpoint_limits.heard_at(self._entry)
        is_success = response_head.status < SERVER_ERROR and not response_head.refused
        is_later = self._sent_at >= heard_at
        if is_success and is_later and not notice.has_unreadable_limit:
            record_limit(self._fleet, self._entry, NO_LIMIT)

    @property
    def has_framing(self) -> bool:
        """Whether the response has a content length or is chunked."""
        return self._exchange.has_framing

    async def receive_data(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` once it is complete."""
        return await self._record_broken(self._exchange.receive_data())

    async def receive_body(self) -> bytes:
        """Return the whole body, within the room for what clients don't read.

        :raises NotReadyError: there is none.
        """
        take = self._context.response_writer.take
        return await self._record_broken(self._exchange.receive_body(take))

    async def _record_broken(self, reading: t.Awaitable[t.Any]) -> t.Any:
        try:
            return await reading
        except ExchangeBrokenError as error:
            self.outcome = AttemptOutcome.FAILED
            # The crash detector tells the others once it has tried the path.
            self.is_withheld = error.connection_lost
            raise


class JobIdGenerator:
    """Generates job ids that are unique in the fleet.

    :param origin: 32 random bits for this process, the upper half of each id.
    """

    def __init__(self, origin: int) -> None:
        self._next = (origin & 0xFFFFFFFF) << 32

    def new(self) -> JobId:
        """Return the next id."""
        self._next += 1
        return JobId(self._next)
