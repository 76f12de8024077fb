"""Log lines about the attempts of streams."""

import logging

import trio

from ...core import StreamPlan
from .._fleet import FleetState
from .._log_fields import logged_parts
from .._request_context import RequestContext

logger = logging.getLogger("foxtailsaddle.stream")


def log_placed(fleet: FleetState, context: RequestContext, plan: StreamPlan) -> None:
    """Log the engines chosen for an attempt, and the load that decided it."""
    now = trio.current_time()
    load = fleet.engine_loads.load(plan.endpoint, now)
    prompt = context.request.prompt_size
    logger.info(
        "stream: placed",
        extra={
            "id": context.request.id,
            "endpoint": plan.endpoint,
            "helpers": plan.helpers,
            "held": dict(plan.reserved_by_endpoint),
            "tokens": prompt.prompt_tokens if prompt else 0,
            "prompt_parts": logged_parts(context.request),
            "first_event_ms": round(plan.first_event_ms),
            "loss": round(plan.cost, 3),
            "late": plan.deprioritized,
            "left": plan.leave_reason.value if plan.leave_reason else "",
            "requests_there": load.requests,
            "reading_ms": round(load.prefill_ms),
            "memory_there": load.kv_tokens,
            "pace": round(fleet.health.slowdown(plan.endpoint, now), 2),
            "waited_ms": round((now - context.arrived_at) * 1000),
            "configuration": fleet.route_table.version,
        },
    )


def log_failure(
    context: RequestContext, plan: StreamPlan, error: Exception, events: int
) -> None:
    """Log why an attempt failed.

    :param events: number of events that were passed on so far.
    """
    logger.warning(
        "stream: attempt failed",
        extra={
            "id": context.request.id,
            "endpoint": plan.endpoint,
            "helpers": len(plan.helpers),
            "events": events,
            "why": str(error),
            "may_have_run": context.possible_runs,
        },
    )
