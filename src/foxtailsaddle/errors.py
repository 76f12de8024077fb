"""Exceptions of foxtailsaddle, each with an error code and an HTTP status."""

import typing as t

from .verdicts import Verdict


class FoxtailsaddleError(Exception):
    """Base class of the errors that this package raises.

    :param message: says what failed, with the name of the object concerned.
    :param retry_after_s: seconds after which the caller may retry; ``None`` if
        unknown.
    :param verdict: whether the request may have run.
    """

    code: t.ClassVar[str] = "internal_error"
    status: t.ClassVar[int] = 500

    def __init__(
        self,
        message: str,
        *,
        retry_after_s: float | None = None,
        verdict: Verdict = Verdict.NOT_RUN,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        self.verdict = verdict


class UnreadableInputError(FoxtailsaddleError, ValueError):
    """Data that another program wrote can't be read, or can't be used."""

    code = "input_unreadable"


class SettingsError(FoxtailsaddleError):
    """A settings file or a change is invalid; names the path and the reason."""

    code = "settings_invalid"
    status = 422


class ProcessSettingsError(SettingsError):
    """The settings file that the platform writes for a process is invalid."""

    code = "process_settings_invalid"


class SettingsConflictError(FoxtailsaddleError):
    """Another change of the settings was accepted first."""

    code = "settings_conflict"
    status = 409


class AddressInUseError(FoxtailsaddleError):
    """A listening address is already in use."""

    code = "address_in_use"


class RequestInvalidError(FoxtailsaddleError):
    """The request's body or headers are invalid."""

    code = "request_invalid"
    status = 400


class UnauthorizedError(FoxtailsaddleError):
    """The bearer key is missing or belongs to no client account."""

    code = "unauthorized"
    status = 401


class ServiceUnknownError(FoxtailsaddleError):
    """The named service does not exist for this client account."""

    code = "service_unknown"
    status = 404


class NotFoundError(FoxtailsaddleError):
    """The requested resource does not exist."""

    code = "not_found"
    status = 404


class MethodNotAllowedError(FoxtailsaddleError):
    """The path exists, but does not support this method."""

    code = "method_not_allowed"
    status = 405


class BodyTooLargeError(FoxtailsaddleError):
    """The request's body is longer than the settings allow."""

    code = "body_too_large"
    status = 413


class PromptTooLargeError(FoxtailsaddleError):
    """The prompt exceeds the memory of each endpoint and group of the service."""

    code = "prompt_too_large"
    status = 413


class LimitExceededError(FoxtailsaddleError):
    """The client account has exceeded its rate limit."""

    code = "limit_exceeded"
    status = 429


class OverloadedError(FoxtailsaddleError):
    """The request was not started because it can't finish in its allowed time."""

    code = "overloaded"
    status = 503


class NotReadyError(FoxtailsaddleError):
    """The instance can't accept the request now.

    It is starting or draining, has no confirmed settings, or is at its limit of
    concurrent requests.
    """

    code = "not_ready"
    status = 503


class TooManyConnectionsError(NotReadyError):
    """No further connection of a client can be served now."""

    code = "too_many_connections"


class QuarantinedError(FoxtailsaddleError):
    """The request is refused because endpoints died while they ran it."""

    code = "quarantined"
    status = 422


class SuspectRequestError(FoxtailsaddleError):
    """The request is not sent again, because endpoints died while they ran it."""

    code = "suspect_request"
    status = 503


class DeadlineExceededError(FoxtailsaddleError):
    """The allowed time ended before the answer was complete."""

    code = "deadline_exceeded"
    status = 504


class EndpointFailedError(FoxtailsaddleError):
    """An endpoint failed and no other endpoint could continue the request.

    :param endpoint: id of the endpoint that failed.
    """

    code = "endpoint_failed"
    status = 502

    def __init__(self, message: str, *, endpoint: str = "", **options: t.Any) -> None:
        super().__init__(message, **options)
        self.endpoint = endpoint


class AnswerNotHeldError(FoxtailsaddleError):
    """There is no memory for an endpoint's answer; the call may have run."""

    code = "answer_not_held"
    status = 502


class IdempotencyKeyReusedError(FoxtailsaddleError):
    """The idempotency key was used before with a different body."""

    code = "idempotency_key_reused"
    status = 422


class CallInProgressError(FoxtailsaddleError):
    """A call with the same idempotency key is still running."""

    code = "in_progress"
    status = 409


class OutcomeUnknownError(FoxtailsaddleError):
    """The call was sent but its outcome is unknown, so it is not repeated."""

    code = "outcome_unknown"
    status = 502


class PlatformUnavailableError(FoxtailsaddleError):
    """The platform did not answer; the call had no effect there."""

    code = "platform_unavailable"
    status = 503


class WriteOutcomeUnknownError(FoxtailsaddleError):
    """A write to a platform table may or may not have taken effect."""

    code = "write_outcome_unknown"
    status = 503


class PreconditionFailedError(FoxtailsaddleError):
    """A row was not at the expected version."""

    code = "precondition_failed"
    status = 412


class LeaseLostError(FoxtailsaddleError):
    """The lease on an endpoint belongs to another instance or has expired."""

    code = "lease_lost"
    status = 409


class NothingSentError(FoxtailsaddleError):
    """No byte of a request was sent to the server.

    :param connection_refused: the server refused the connection, because no process
        listens at the address.
    :param is_confirmed: false if the path to the server may be at fault.
    """

    code = "nothing_sent"
    status = 502

    def __init__(
        self,
        message: str,
        *,
        connection_refused: bool = False,
        is_confirmed: bool = True,
    ) -> None:
        super().__init__(message)
        self.connection_refused = connection_refused
        self.is_confirmed = is_confirmed


class ExchangeBrokenError(FoxtailsaddleError):
    """A request was sent, but no complete response arrived.

    :param connection_lost: the server or the network ended the connection.
    """

    code = "exchange_broken"
    status = 502

    def __init__(self, message: str, *, connection_lost: bool = False) -> None:
        super().__init__(message, verdict=Verdict.MAY_HAVE_RUN)
        self.connection_lost = connection_lost


class ResponseTooLargeError(ExchangeBrokenError):
    """A response, or a part of it, is longer than any valid one may be."""

    code = "response_too_large"


class HistoryGoneError(FoxtailsaddleError):
    """The platform's store no longer has the requested changes."""

    code = "history_gone"
    status = 410


class RequestTimeoutError(FoxtailsaddleError):
    """The caller did not send the rest of its request in time."""

    code = "request_timeout"
    status = 408


class HeadersTooLargeError(FoxtailsaddleError):
    """The request's headers are longer than the configuration allows."""

    code = "headers_too_large"
    status = 431


class NoEndpointError(FoxtailsaddleError):
    """No endpoint of the service can accept the request now."""

    code = "no_endpoint"
    status = 503


class CallerGoneError(FoxtailsaddleError):
    """The caller closed its connection."""

    code = "caller_gone"
    status = 499
