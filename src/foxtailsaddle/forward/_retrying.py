"""Retry decisions that both forwarders share."""

import typing as t

import xxhash

from ..core import EndpointId, ListedEndpoint
from ..errors import (
    DeadlineExceededError,
    EndpointFailedError,
    FoxtailsaddleError,
    NoEndpointError,
)
from ._fleet import FleetState
from ._request_context import RequestContext

MAX_WAIT_SHARE = 0.5  # of the time until the answer is late, for an endpoint's limit
MIN_RETRY_AFTER_S = 1.0  # retries of refused callers are spread from here
MAX_RETRY_AFTER_S = 4.0  # to here
HASH_RANGE = 1 << 32  # of a 32-bit hash
MAX_RESUMED_WAIT_S = 1.0  # for a limit, of an answer that has begun


def can_run_again(context: RequestContext) -> bool:
    """Return whether the request may run at one more endpoint."""
    return (
        context.route.repeatable and context.possible_runs < context.route.max_attempts
    )


def may_attempt_again(fleet: FleetState, context: RequestContext, now: float) -> bool:
    """Return whether another attempt is allowed, and take it out of the retry budget.

    The route must allow another run if the request may have run, time must be left,
    and the retry budget must not be used up.
    """
    if context.possible_runs and not can_run_again(context):
        return False
    if context.remaining_s(now) <= 0 or not claim_retry(fleet, context, now):
        return False
    context.has_claimed_retry = False
    return True


def claim_retry(fleet: FleetState, context: RequestContext, now: float) -> bool:
    """Take a retry out of the budget before the present attempt is given up."""
    if not context.has_claimed_retry:
        context.has_claimed_retry = fleet.may_retry(context.service.id, now)
    return context.has_claimed_retry


def eligible_endpoints(
    fleet: FleetState,
    available: t.Sequence[ListedEndpoint],
    tried: t.Collection[EndpointId],
    max_wait_s: float,
    now: float,
) -> t.Sequence[ListedEndpoint]:
    """Return the endpoints that an attempt is to use.

    Endpoints whose limit allows no request in time are left out. Those that failed this
    request, or that only fail at present, are left out as long as there are others.

    :param available: the endpoints of the service that may get requests.
    :param tried: endpoints that failed this request.
    :param max_wait_s: longest time that the request may wait at a limit.
    """
    available = fleet.request_limits.within(available, max_wait_s, now)
    untried = [entry for entry in available if entry.id not in tried]
    good = [entry for entry in untried if not fleet.health.is_failing(entry.id, now)]
    return good or untried or available


def max_limit_wait_s(context: RequestContext, now: float) -> float:
    """Return how long a request may wait until an endpoint's limit allows it.

    Requests of a higher priority may wait longer, so that they get ahead of the others
    while the limit is used up, and so may answers that have begun.
    """
    remaining_s = max(0.0, context.remaining_s(now))
    if context.response_writer.started:
        return min(remaining_s, MAX_RESUMED_WAIT_S)
    target_s = context.arrived_at + context.route.first_event_target_s - now
    share = MAX_WAIT_SHARE / (1 + context.priority)
    return share * max(0.0, min(remaining_s, target_s))


def limit_wait_s(fleet: FleetState, context: RequestContext, now: float) -> float:
    """Return the time until a limit at the service may allow a request.

    Returns 0 if one of its endpoints has no limit.
    """
    usable = fleet.endpoints.usable(context.service.id)
    waits = [fleet.request_limits.wait_s(entry, now) for entry in usable]
    return min(waits, default=0.0)


def spread_retry_after_s(context: RequestContext) -> float:
    """Return when a refused caller may come back, so that not all come at once."""
    fraction = xxhash.xxh32_intdigest(context.request.id.encode()) / HASH_RANGE
    return MIN_RETRY_AFTER_S + fraction * (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S)


def final_error(
    fleet: FleetState,
    context: RequestContext,
    error: Exception,
    now: float,
    min_retry_after_s: float,
) -> FoxtailsaddleError:
    """Return the error for the caller.

    Its verdict says whether the request may have run.

    :param error: the error of the last attempt.
    :param min_retry_after_s: shortest time after which the caller may return, in
        seconds. It is longer while all endpoints of the service have asked for a pause
        or have a limit that is used up.
    """
    if not context.possible_runs:
        usable = fleet.endpoints.usable(context.service.id)
        wait_s = limit_wait_s(fleet, context, now)
        retry_after_s = max(
            min_retry_after_s, fleet.holds.pause_left_s(usable, now), wait_s
        )
        message = str(error)
        if usable and not fleet.evacuations.available(usable):
            message = (
                f'all data centres with endpoints of service "{context.service.id}" '
                "are evacuated"
            )
            retry_after_s = max(retry_after_s, spread_retry_after_s(context))
        elif wait_s > max_limit_wait_s(context, now):
            message = (
                f'the limits that the endpoints of service "{context.service.id}" '
                f"name allow no request for {wait_s:.2f} s"
            )
        return NoEndpointError(message, retry_after_s=retry_after_s)
    if context.remaining_s(now) <= 0:
        return DeadlineExceededError(str(error), verdict=context.verdict)
    return EndpointFailedError(str(error), verdict=context.verdict)
