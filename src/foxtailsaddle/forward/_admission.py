"""Turns a request that was read whole into a call, or says why not."""

import trio
import xxhash

from ..core import AccountId, Route, RouteKind, RouteTable
from ..errors import (
    NotReadyError,
    RequestInvalidError,
    ServiceUnknownError,
    SuspectRequestError,
    UnauthorizedError,
)
from ..ports import CallerRequest, Headers
from ._call import Answering, Call
from ._fleet import Fleet, fingerprint
from ._plain import PlainForwarder
from ._streams import StreamForwarder

NOT_READY_RETRY_S = 0.5
POINTS = 1 << 32


class Admission:
    """Finds route, account and service of a request, and forwards it."""

    def __init__(
        self,
        fleet: Fleet,
        streams: StreamForwarder,
        plain: PlainForwarder,
    ) -> None:
        self._fleet = fleet
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
        answering: Answering,
    ) -> Call:
        """Return the call of a request.

        :raises FoxtailsaddleError: it can't be forwarded, with the status.
        """
        table = self._fleet.table
        if table is None:
            raise NotReadyError(
                "no configuration is known yet", retry_after_s=NOT_READY_RETRY_S
            )
        host, path = _authority(request, target)
        route = table.find(host, path)
        if route is None:
            raise ServiceUnknownError(f'no route for "{host}{path}"')
        account = _account(table, route, request)
        if not request.id:
            raise RequestInvalidError("the request has no id")
        service_id = route.service_at(_point(request.id))
        service = table.service_by_id.get(service_id)
        if service is None:
            raise NotReadyError(
                f'service "{service_id}" is unknown', retry_after_s=NOT_READY_RETRY_S
            )
        wait_s = route.timeout_s
        if request.deadline_s is not None:
            wait_s = min(wait_s, request.deadline_s)
        call = Call(
            request=request,
            method=method,
            target=target,
            headers=headers,
            body=body,
            route=route,
            service=service,
            account=account,
            fingerprint=fingerprint(account or "", target, body),
            arrived_at=arrived_at,
            expires_at=arrived_at + wait_s,
            answering=answering,
        )
        self._check_quarantine(call)
        self._fleet.retries.note_request(service.id, trio.current_time())
        return call

    async def forward(self, call: Call) -> None:
        """Answer a call from an endpoint.

        :raises FoxtailsaddleError: no endpoint's answer could be passed on.
        """
        if call.route.kind is RouteKind.STREAM and call.service.engine is not None:
            await self._streams.forward(call)
        else:
            await self._plain.forward(call)

    def _check_quarantine(self, call: Call) -> None:
        held_s = self._fleet.crashes.held_for(call.fingerprint, trio.current_time())
        if held_s:
            raise SuspectRequestError(
                "endpoints died while they ran this request", retry_after_s=held_s
            )


def _authority(request: CallerRequest, target: str) -> tuple[str, str]:
    path = target.partition("?")[0]
    if path.startswith("/"):
        return request.host, path
    _, _, rest = path.partition("://")
    host, slash, path = rest.partition("/")
    return host.lower().split(":")[0], slash + path


def _account(
    table: RouteTable, route: Route, request: CallerRequest
) -> AccountId | None:
    account = table.account_by_key.get(request.key) if request.key else None
    if account is not None:
        return account.id
    if route.public or not table.has_accounts:
        return None
    raise UnauthorizedError("the key is missing or belongs to no client account")


def _point(request_id: str) -> float:
    return xxhash.xxh32_intdigest(request_id.encode()) / POINTS
