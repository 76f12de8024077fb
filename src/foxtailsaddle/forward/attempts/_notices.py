"""Records what endpoints say of themselves beside their responses."""

import logging

import trio

from ...core import MAX_PAUSE_S, NO_LIMIT, EndpointNotice, ListedEndpoint, NamedLimit
from .._cold_starts import record_cold_notice
from .._fleet import FleetState

logger = logging.getLogger("foxtailsaddle.holds")
limits_logger = logging.getLogger("foxtailsaddle.limits")


def record_notice(
    fleet: FleetState, entry: ListedEndpoint, notice: EndpointNotice
) -> None:
    """Record what an endpoint says of itself.

    A pause that is asked for again before it ends is logged once.

    :param entry: the endpoint that responded, as it was listed when the request was
        sent.
    """
    if notice.is_leaving and fleet.holds.record_leaving(entry.id, entry.born_ms):
        logger.info(
            "holds: endpoint leaves",
            extra={"endpoint": entry.id, "born_ms": entry.born_ms},
        )
    now = trio.current_time()
    if notice.cold_s:
        record_cold_notice(fleet, entry, notice.cold_s, now)
    if not notice.pause_s:
        return
    if fleet.holds.record_pause(entry.id, entry.born_ms, notice.pause_s, now):
        logger.info(
            "holds: endpoint pauses",
            extra={
                "endpoint": entry.id,
                "born_ms": entry.born_ms,
                "pause_s": round(min(notice.pause_s, MAX_PAUSE_S), 3),
            },
        )


def record_limit(fleet: FleetState, entry: ListedEndpoint, per_s: float) -> None:
    """Record the limit that an endpoint names, or that it names none any more.

    :param per_s: requests per second, infinite for no limit.
    """
    limit = NamedLimit(entry.id, entry.born_ms, per_s, trio.current_time())
    if not fleet.record_limit(limit):
        return
    if per_s == NO_LIMIT:
        limits_logger.info("limits: limit ended", extra={"endpoint": entry.id})
        return
    limits_logger.info(
        "limits: endpoint names a limit",
        extra={"endpoint": entry.id, "born_ms": entry.born_ms, "per_s": per_s},
    )


def record_notice_at(fleet: FleetState, address: str, notice: EndpointNotice) -> None:
    """Record what the endpoint at an address says of itself beside an order or report.

    Only a response to a request of a client shows that a limit has ended.
    """
    entry = fleet.endpoints.newest_at_address(address)
    if entry is None:
        return
    record_notice(fleet, entry, notice)
    if notice.limit_per_s is not None:
        record_limit(fleet, entry, notice.limit_per_s)
