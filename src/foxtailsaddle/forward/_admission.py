"""Checks a request that was read completely and builds its request context."""

import trio
import xxhash

from ..core import ClientAccount, Route, RouteKind, RouteTable
from ..errors import (
    NotReadyError,
    RequestInvalidError,
    ServiceUnknownError,
    SuspectRequestError,
    UnauthorizedError,
)
from ..ports import CallerRequest, Headers
from ._fleet import FleetState, fingerprint
from ._request_context import RequestContext, ResponseWriter
from .attempts import PartChecks
from .plain import PlainForwarder
from .streams import StreamForwarder

NOT_READY_RETRY_AFTER_S = 0.5
LONGEST_READ_S = 60.0  # of a request that no route allows
HASH_RANGE = 1 << 32  # of a 32-bit hash


class Admission:
    """Finds the route, client account and service of a request, and forwards it."""

    def __init__(
        self,
        fleet: FleetState,
        streams: StreamForwarder,
        plain: PlainForwarder,
        part_checks: PartChecks,
    ) -> None:
        self._fleet = fleet
        self._part_checks = part_checks
        self._streams = streams
        self._plain = plain

    def admit(
        self,
        request: CallerRequest,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        arrived_at: float,
        response_writer: ResponseWriter,
    ) -> RequestContext:
        """Return the context of a request that may be forwarded.

        :param arrived_at: when the first byte of the request was read.
        :param response_writer: sends the response to the caller.
        :raises FoxtailsaddleError: the request can't be forwarded; the error has
            the status of the response.
        """
        table, route, account = self._find_route(request, target)
        if not request.id:
            raise RequestInvalidError("the request has no request id")
        service_id = route.service_at(_hash_fraction(request.id))
        service = table.service_by_id.get(service_id)
        if service is None:
            raise NotReadyError(
                f'the configuration has no service "{service_id}"',
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        context = RequestContext(
            request=request,
            method=method,
            target=target,
            headers=headers,
            body=body,
            route=route,
            service=service,
            account=account.id if account else None,
            priority=_priority(route, account),
            fingerprint=fingerprint(account.id if account else "", target, body),
            arrived_at=arrived_at,
            expires_at=arrived_at + _allowed_s(request, route.timeout_s),
            response_writer=response_writer,
        )
        self._check_quarantine(context)
        self._fleet.retries.record_request(service.id, trio.current_time())
        return context

    def check_head(self, request: CallerRequest, target: str) -> None:
        """Check the route and the client account of a request whose body is not read.

        :raises FoxtailsaddleError: the request can't be admitted.
        """
        self._find_route(request, target)

    def allowed_s(self, request: CallerRequest, target: str) -> float:
        """Return how long a request may take, in seconds."""
        table = self._fleet.route_table
        route = table.find(*_host_and_path(request, target)) if table else None
        return _allowed_s(request, route.timeout_s if route else LONGEST_READ_S)

    async def forward(self, context: RequestContext) -> None:
        """Forward a request to an endpoint and pass its response on to the caller.

        :raises FoxtailsaddleError: no endpoint's response could be passed on.
        """
        self._part_checks.check_arrival(context)
        if (
            context.route.kind is RouteKind.STREAM
            and context.service.engine is not None
        ):
            await self._streams.forward(context)
        else:
            await self._plain.forward(context)

    def _find_route(
        self, request: CallerRequest, target: str
    ) -> tuple[RouteTable, Route, ClientAccount | None]:
        table = self._fleet.route_table
        if table is None:
            raise NotReadyError(
                "this instance has not received a configuration yet",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        host, path = _host_and_path(request, target)
        route = table.find(host, path)
        if route is None:
            raise ServiceUnknownError(f'no route matches "{host}{path}"')
        account = _authenticate(table, route, request)
        return table, route, account

    def _check_quarantine(self, context: RequestContext) -> None:
        quarantine_s = self._fleet.crash_guard.refused_for_s(
            context.fingerprint, trio.current_time()
        )
        if quarantine_s:
            raise SuspectRequestError(
                "endpoints crashed while they ran this request",
                retry_after_s=quarantine_s,
            )


def _allowed_s(request: CallerRequest, timeout_s: float) -> float:
    if request.deadline_s is None:
        return timeout_s
    return min(timeout_s, request.deadline_s)


def _host_and_path(request: CallerRequest, target: str) -> tuple[str, str]:
    path = target.partition("?")[0]
    if path.startswith("/"):
        return request.host, path
    _, _, rest = path.partition("://")
    host, slash, path = rest.partition("/")
    return host.lower().split(":")[0], slash + path


def _authenticate(
    table: RouteTable, route: Route, request: CallerRequest
) -> ClientAccount | None:
    account = table.account_by_key.get(request.api_key) if request.api_key else None
    if account is not None:
        return account
    if route.public or not table.has_accounts:
        return None
    raise UnauthorizedError("the API key is missing or belongs to no client account")


def _priority(route: Route, account: ClientAccount | None) -> int:
    """Return the priority of a request; that of its account goes before its route's."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


def _hash_fraction(request_id: str) -> float:
    return xxhash.xxh32_intdigest(request_id.encode()) / HASH_RANGE
