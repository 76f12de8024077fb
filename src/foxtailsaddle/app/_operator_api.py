"""The HTTP interface for operators, as an ASGI application."""

import dataclasses
import hashlib
import hmac
import typing as t

import pydantic
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .._input_readers import read_digits, read_json, read_optional, reading
from ..core import (
    AccountId,
    EndpointId,
    InstanceId,
    Liveness,
    Members,
    Revision,
    ServiceId,
)
from ..errors import (
    FoxtailsaddleError,
    NotFoundError,
    RequestInvalidError,
    UnauthorizedError,
)
from ._decision_log import DecisionLog
from ._environment import Environment
from ._idempotency_ledger import IdempotencyLedger
from ._router import Router
from ._settings_manager import Change, SettingsManager
from ._sinks import problem_response


class ChangeBody(pydantic.BaseModel):
    """The body of a settings change."""

    model_config = pydantic.ConfigDict(extra="forbid")

    id: str = pydantic.Field(min_length=1, max_length=200)
    base: int = pydantic.Field(ge=0)
    patch: dict[str, t.Any]


class OperatorApi:
    """Routes and handlers of the operators' interface."""

    def __init__(
        self,
        env: Environment,
        settings_manager: SettingsManager,
        members: Members,
        liveness: Liveness,
        router: Router,
        ledger: IdempotencyLedger,
        decision_log: DecisionLog,
    ) -> None:
        self._env = env
        self._settings_manager = settings_manager
        self._members = members
        self._liveness = liveness
        self._router = router
        self._ledger = ledger
        self._decision_log = decision_log

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        explain_path = "/settings/explain/{account}/{service}"
        entry_path = "/ledger/{account}/{service}/{key:path}"
        return Starlette(
            routes=[
                Route("/metrics", self._metrics),
                Route("/settings", self._settings),
                Route("/settings/changes", self._post_change, methods=["POST"]),
                Route("/settings/changes/{id}", self._get_change),
                Route("/settings/history", self._history),
                Route(explain_path, self._explain),
                Route("/instances", self._instances),
                Route("/endpoints", self._endpoints),
                Route("/requests/{id}", self._request),
                Route(entry_path, self._entry),
            ],
            exception_handlers={FoxtailsaddleError: _error_response},
        )

    async def _metrics(self, request: Request) -> Response:
        body, headers = self._env.metrics.render(
            request.headers.getlist("accept") or ["*/*"]
        )
        return Response(body, headers=headers)

    async def _settings(self, request: Request) -> Response:
        self._authenticate(request)
        log = self._settings_manager.log
        return JSONResponse({"revision": log.number, "tree": log.document})

    async def _post_change(self, request: Request) -> Response:
        author = self._authenticate(request)
        raw = await request.body()
        with reading("the change", RequestInvalidError):
            body = ChangeBody.model_validate(read_json(raw))
        change = Change(body.id, author, body.base, body.patch)
        revision = await self._settings_manager.accept(change)
        return JSONResponse(_revision_body(revision))

    async def _get_change(self, request: Request) -> Response:
        self._authenticate(request)
        revision = await self._settings_manager.get_change(request.path_params["id"])
        return JSONResponse(_revision_body(revision))

    async def _history(self, request: Request) -> Response:
        self._authenticate(request)
        after = _revision_number(request.query_params.get("after", "0"))
        revisions = await self._settings_manager.history(after)
        return JSONResponse({"revisions": [_revision_body(item) for item in revisions]})

    async def _explain(self, request: Request) -> Response:
        self._authenticate(request)
        values = self._settings_manager.log.tree.explain(
            AccountId(request.path_params["account"]),
            ServiceId(request.path_params["service"]),
        )
        return JSONResponse({"values": [item._asdict() for item in values]})

    async def _instances(self, request: Request) -> Response:
        self._authenticate(request)
        now = self._env.clock.now()
        live = {member.id for member in self._members.live(now)}
        all_members = [self._members.own, *self._members.known()]
        rows = [
            {
                "id": member.id,
                "state": member.state.value,
                "live": member.id in live,
                "revision": member.revision,
                "data_centre": member.data_centre,
                "address": member.address,
            }
            for member in sorted(all_members, key=lambda member: member.id)
        ]
        return JSONResponse({"instances": rows})

    async def _endpoints(self, request: Request) -> Response:
        self._authenticate(request)
        rows = [
            self._endpoint_row(service_id, endpoint_id)
            for service_id, service in self._settings_manager.log.tree.services.items()
            for endpoint_id in service.endpoints
        ]
        return JSONResponse({"endpoints": rows})

    def _endpoint_row(self, service: str, endpoint_id: EndpointId) -> dict[str, t.Any]:
        now = self._env.clock.now()
        queue = self._router.prefill_queue(endpoint_id)
        return {
            "service": service,
            "id": endpoint_id,
            "withdrawn": self._router.find_endpoint(endpoint_id).withdrawn,
            "takes_work": self._liveness.may_get_work(endpoint_id, now),
            "owner": self._router.owner(endpoint_id),
            "prompts": len(queue.placement_by_attempt),
            "backlog_s": round(queue.backlog_s, 3),
            "prefill_tokens_per_s": round(queue.rate),
        }

    async def _request(self, request: Request) -> Response:
        self._authenticate(request)
        request_id = request.path_params["id"]
        steps = self._decision_log.steps(request_id)
        if not steps:
            instance = InstanceId(request_id.partition("~")[0])
            raise NotFoundError(
                f'request "{request_id}" is not known at this instance; '
                f'ask instance "{instance}"'
            )
        rows = [dataclasses.asdict(step) for step in steps]
        return JSONResponse({"id": request_id, "steps": rows})

    async def _entry(self, request: Request) -> Response:
        self._authenticate(request)
        names = ("account", "service", "key")
        entry = await self._ledger.get(*(request.path_params[n] for n in names))
        return JSONResponse(entry.to_row())

    def _authenticate(self, request: Request) -> str:
        """Return the operator whose key the request carries."""
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        matches = [
            operator
            for operator, known in self._env.settings.operator_key_sha256.items()
            if hmac.compare_digest(known, digest)
        ]
        if not matches:
            raise UnauthorizedError("the key belongs to no operator")
        return matches[0]


async def _error_response(request: Request, error: FoxtailsaddleError) -> Response:
    return problem_response(error)


def _revision_number(text: str) -> int:
    number = read_optional(read_digits, text.encode())
    if number is None:
        raise RequestInvalidError(f'after: not a revision number: "{text:.200}"')
    return number


def _revision_body(revision: Revision) -> dict[str, t.Any]:
    fields = dataclasses.asdict(revision)
    del fields["document"]
    return fields
