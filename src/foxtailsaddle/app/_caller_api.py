"""The HTTP interface for callers, as an ASGI application."""

import hashlib
import logging
import typing as t

import pydantic
import trio
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .._input_readers import read_json, reading
from ..core import (
    AccountId,
    RevisionLog,
    Service,
    ServiceId,
    ServiceKind,
    parts_of_chat,
    probes_of,
)
from ..errors import (
    BodyTooLargeError,
    CallerGoneError,
    FoxtailsaddleError,
    MethodNotAllowedError,
    NotFoundError,
    NotReadyError,
    RequestInvalidError,
    RequestTimeoutError,
    UnauthorizedError,
)
from ..ports import TAKE_ROOM_KEY, take_nothing
from ._attempts import ModelCall
from ._environment import Environment
from ._model_gateway import ModelGateway
from ._model_pages import model_page, models_page
from ._plain_gateway import PlainGateway, PlainRequest
from ._request_context import RequestContext
from ._sinks import (
    BufferedSink,
    EventStreamSink,
    problem_response,
    to_foxtailsaddle_error,
)

logger = logging.getLogger("foxtailsaddle.callers")

ALLOWED_TIME_HEADER = "x-allowed-time-s"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
VERDICT_HEADER = "x-verdict"
REQUEST_ID_HEADER = "x-request-id"
MAX_IDEMPOTENCY_KEY_CHARS = 200
NOT_READY_RETRY_AFTER_S = 2.0
DEFAULT_OUTPUT_TOKENS = 256
LONGEST_BODY_S = 600.0  # of a request that names no allowed time
METHOD_NOT_ALLOWED_STATUS = 405


class CompletionBody(pydantic.BaseModel):
    """The body of a completion request; extra options are passed to the engine."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str
    prompt: str = ""
    messages: list[dict[str, t.Any]] = []
    max_tokens: int = pydantic.Field(DEFAULT_OUTPUT_TOKENS, gt=0)
    stream: bool = False


class CallerApi:
    """Routes and handlers of the callers' interface.

    :param is_ready: whether the settings are loaded and no shutdown has begun.
    :param may_admit: whether the settings are confirmed, so that new requests may be
        admitted.
    """

    def __init__(
        self,
        env: Environment,
        revision_log: RevisionLog,
        gateway: ModelGateway,
        plain_gateway: PlainGateway,
        is_ready: t.Callable[[], bool],
        may_admit: t.Callable[[], bool],
    ) -> None:
        self._env = env
        self._revision_log = revision_log
        self._gateway = gateway
        self._plain_gateway = plain_gateway
        self._is_ready = is_ready
        self._may_admit = may_admit
        self._cached_accounts: tuple[int, dict[str, AccountId]] = (-1, {})

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self._completions, methods=["POST"]),
                Route("/v1/chat/completions", self._completions, methods=["POST"]),
                Route(
                    "/v1/services/{service}/{path:path}",
                    self._service,
                    methods=["GET", "POST"],
                ),
                Route("/v1/models", self._models),
                Route("/v1/models/{name:path}", self._model),
                Route("/healthz", self._health),
                Route("/readyz", self._ready),
            ],
            exception_handlers={
                FoxtailsaddleError: self._error_response,
                HTTPException: self._route_error_response,
                Exception: self._error_response,
            },
        )

    async def _health(self, request: Request) -> Response:
        return JSONResponse({"state": "up"})

    async def _ready(self, request: Request) -> Response:
        if self._is_ready() and self._may_admit():
            return JSONResponse({"state": "ready"})
        return JSONResponse({"state": "not ready"}, status_code=503)

    async def _error_response(self, request: Request, error: Exception) -> Response:
        api_error = to_foxtailsaddle_error(error)
        self._count_request(api_error.code)
        return problem_response(api_error)

    async def _route_error_response(
        self, request: Request, error: HTTPException
    ) -> Response:
        if error.status_code == METHOD_NOT_ALLOWED_STATUS:
            api_error: FoxtailsaddleError = MethodNotAllowedError(
                f'"{request.url.path}" does not accept {request.method}'
            )
        else:
            api_error = NotFoundError(f'no resource at "{request.url.path}"')
        response = await self._error_response(request, api_error)
        response.headers.update(error.headers or {})
        return response

    async def _models(self, request: Request) -> Response:
        self._check_may_admit()
        self._authenticate(request)
        return JSONResponse(models_page(self._revision_log.tree))

    async def _model(self, request: Request) -> Response:
        self._check_may_admit()
        self._authenticate(request)
        return JSONResponse(
            model_page(self._revision_log.tree, request.path_params["name"])
        )

    async def _completions(self, request: Request) -> t.Any:
        self._check_may_admit()
        account = self._authenticate(request)
        raw = await self._read_body(
            request, self._revision_log.tree.max_body_bytes(account)
        )
        chat = request.url.path.endswith("/chat/completions")
        body = _parse_completion(raw, chat)
        service_id = ServiceId(body.model)
        service = self._gateway.service(service_id, ServiceKind.MODEL)
        policy = self._revision_log.tree.policy(account, service_id)
        _check_length(len(raw), policy.max_body_bytes)
        call = _model_call(body, service, account)
        if call.max_tokens > policy.max_output_tokens:
            raise RequestInvalidError(
                f"max_tokens {call.max_tokens} is over {policy.max_output_tokens}"
            )
        context = self._gateway.open_request(
            account,
            service_id,
            _requested_allowed_time_s(request),
            _fingerprint(account, raw),
        )
        sink_type = EventStreamSink if body.stream else BufferedSink
        return sink_type(
            request_id=context.request_id,
            model=body.model,
            chat=chat,
            caller_timeout_s=self._env.settings.slow_caller_s,
            serve=lambda sink: self._serve(context, call, sink),
            prompt_tokens=call.tokens,
        )

    async def _serve(
        self, context: RequestContext, call: ModelCall, sink: t.Any
    ) -> None:
        try:
            await self._gateway.complete(context, call, sink)
        except FoxtailsaddleError as error:
            self._count_request(error.code)
            self._log_request_end(context, error.code)
            raise
        self._count_request("ok")
        self._log_request_end(context, "ok")

    async def _service(self, request: Request) -> Response:
        self._check_may_admit()
        account = self._authenticate(request)
        service_id = ServiceId(request.path_params["service"])
        service = self._gateway.service(service_id, ServiceKind.PLAIN)
        policy = self._revision_log.tree.policy(account, service_id)
        body = await self._read_body(request, policy.max_body_bytes)
        plain_request = _plain_request(request, body)
        context = self._gateway.open_request(
            account,
            service_id,
            _requested_allowed_time_s(request),
            _fingerprint(account, body),
        )
        try:
            answer = await self._plain_gateway.call(context, service, plain_request)
        except FoxtailsaddleError as error:
            self._count_request(error.code)
            self._log_request_end(context, error.code)
            return problem_response(error, context.request_id)
        self._count_request("ok")
        self._log_request_end(context, "ok")
        return Response(
            answer.body,
            status_code=answer.status,
            media_type=answer.content_type,
            headers={
                VERDICT_HEADER: answer.verdict.value,
                REQUEST_ID_HEADER: context.request_id,
            },
        )

    def _authenticate(self, request: Request) -> AccountId:
        """Return the account of the bearer key.

        Keys are compared by their hash, so the timing of the lookup reveals
        nothing that helps to guess a key.
        """
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = self._account_by_key_digest().get(digest)
        if scheme.lower() != "bearer" or account is None:
            raise UnauthorizedError("the bearer key belongs to no client account")
        return account

    def _account_by_key_digest(self) -> dict[str, AccountId]:
        revision, account_by_digest = self._cached_accounts
        if revision != self._revision_log.number:
            account_by_digest = {
                digest: account_id
                for account_id, account in self._revision_log.tree.accounts.items()
                for digest in account.key_sha256
            }
            self._cached_accounts = (self._revision_log.number, account_by_digest)
        return account_by_digest

    def _check_may_admit(self) -> None:
        if not self._may_admit():
            raise NotReadyError(
                "this instance can't confirm its settings at present",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )

    async def _read_body(self, request: Request, limit: int) -> bytes:
        """Return the body of a request.

        :raises BodyTooLargeError: it is larger than ``limit`` bytes.
        :raises RequestInvalidError: no data came for too long.
        :raises CallerGoneError: the caller closed before it was complete.
        :raises RequestTimeoutError: it is not complete when the caller waits no more.
        """
        _check_announced_length(request, limit)
        body = bytearray()
        timeout_s = self._env.settings.slow_caller_s
        allowed_s = _requested_allowed_time_s(request) or LONGEST_BODY_S
        ends_at = trio.current_time() + allowed_s
        stream = request.stream()
        while True:
            now = trio.current_time()
            if now >= ends_at:
                raise RequestTimeoutError(f"the body was not complete in {allowed_s} s")
            with trio.move_on_at(min(ends_at, now + timeout_s)) as scope:
                chunk = await _next_part(stream)
            if scope.cancelled_caught and trio.current_time() < ends_at:
                raise RequestInvalidError(f"no body data received for {timeout_s} s")
            if scope.cancelled_caught:
                continue
            if chunk is None:
                return bytes(body)
            body += chunk
            _check_length(len(body), limit)

    def _count_request(self, code: str) -> None:
        self._env.metrics.requests.inc({"code": code})

    def _log_request_end(self, context: RequestContext, code: str) -> None:
        logger.info(
            "callers: request ended",
            extra={
                "request": context.request_id,
                "attempt": str(context.attempt),
                "account": context.account,
                "service": context.service,
                "verdict": context.verdict.value,
                "code": code,
                "ms": int(context.elapsed_s * 1000),
            },
        )


async def _next_part(stream: t.AsyncIterator[bytes]) -> bytes | None:
    try:
        return await anext(stream, None)
    except ClientDisconnect as error:
        message = "the caller closed before the body was complete"
        raise CallerGoneError(message) from error


def _check_announced_length(request: Request, limit: int) -> None:
    length = request.headers.get("content-length", "0")
    if length.isdecimal():
        _check_length(int(length), limit)


def _check_length(size: int, limit: int) -> None:
    if size > limit:
        raise BodyTooLargeError(f"the body is over {limit} bytes")


def _parse_completion(raw: bytes, chat: bool) -> CompletionBody:
    with reading("the body is no JSON document, it", RequestInvalidError):
        fields = read_json(raw)
    try:
        body = CompletionBody.model_validate(fields)
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        path = ".".join(map(str, first_error["loc"])) or "(body)"
        raise RequestInvalidError(f"body: {path}: {first_error['msg']}") from error
    if chat and not body.messages:
        raise RequestInvalidError("body: messages: a chat needs messages")
    if not chat and not body.prompt:
        raise RequestInvalidError("body: prompt: a completion needs a prompt")
    return body


def _model_call(
    body: CompletionBody, service: Service, account: AccountId
) -> ModelCall:
    text = body.prompt or "\n".join(str(m.get("content", "")) for m in body.messages)
    tokens = max(1, int(len(text.encode()) / service.bytes_per_token))
    return ModelCall(
        prompt=text,
        messages=tuple(body.messages),
        options=dict(body.model_extra or {}),
        max_tokens=body.max_tokens,
        tokens=tokens,
        probes=probes_of(text, account, service.cache_block_bytes),
        parts=parts_of_chat(body.messages, body.model),
    )


def _plain_request(request: Request, body: bytes) -> PlainRequest:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS:
        raise RequestInvalidError(
            f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_CHARS} characters"
        )
    path = request.path_params["path"]
    content = b"\0".join((request.method.encode(), path.encode(), body))
    return PlainRequest(
        method=request.method,
        path=path,
        content_type=request.headers.get("content-type", "application/json"),
        body=body,
        key=key,
        digest=hashlib.sha256(content).hexdigest(),
        take_room=request.scope.get(TAKE_ROOM_KEY, take_nothing),
    )


def _requested_allowed_time_s(request: Request) -> float | None:
    text = request.headers.get(ALLOWED_TIME_HEADER)
    if text is None:
        return None
    try:
        allowed_s = float(text)
    except ValueError as error:
        raise RequestInvalidError(
            f'{ALLOWED_TIME_HEADER} "{text}" is not a number'
        ) from error
    if not 0 < allowed_s < float("inf"):
        raise RequestInvalidError(f'{ALLOWED_TIME_HEADER} "{text}" is not above zero')
    return allowed_s


def _fingerprint(account: AccountId, body: bytes) -> str:
    return hashlib.sha256(account.encode() + b"\0" + body).hexdigest()
