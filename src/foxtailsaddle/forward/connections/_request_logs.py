"""The log line at the end of each request."""

import dataclasses
import logging
import typing as t

from ...ports import CallerRequest
from .._log_fields import logged_parts
from .._request_context import RequestContext

logger = logging.getLogger("foxtailsaddle.request")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request ended.

    :param outcome: code of the error, or what became of the response.
    :param status: status of the response, 0 if none was sent.
    """

    outcome: str
    status: int
    duration_s: float


def log_end(
    end: RequestEnd,
    caller_request: CallerRequest,
    target: str,
    context: RequestContext | None,
) -> None:
    """Log the end of a request.

    :param target: path and query, logged if the request was not admitted.
    :param context: ``None`` if it was not admitted.
    """
    extra: dict[str, t.Any] = {
        "id": caller_request.id,
        "outcome": end.outcome,
        "status": end.status,
        "ms": round(end.duration_s * 1000),
    }
    if caller_request.shared_prompt_parts:
        extra["prompt_parts"] = logged_parts(caller_request)
    if context is None:
        extra["target"] = target
    else:
        extra |= {
            "route": context.route.name,
            "endpoints": context.tried_endpoints,
            "sends": context.attempts,
            "verdict": context.verdict.value,
            **context.log_fields,
        }
    logger.info("request: ended", extra=extra)


def log_idle_close(idle_s: float, timeout_s: float) -> None:
    """Log that a connection was closed on which no request came for too long."""
    logger.info(
        "request: idle connection closed",
        extra={"idle_ms": round(idle_s * 1000), "timeout_ms": round(timeout_s * 1000)},
    )
