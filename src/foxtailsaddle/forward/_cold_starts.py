"""Records which endpoints are cold."""

import logging

import trio

from ..core import ListedEndpoint
from ._fleet import FleetState

logger = logging.getLogger("foxtailsaddle.limits")


def record_entry(
    fleet: FleetState,
    entry: ListedEndpoint,
    previous: ListedEndpoint | None,
    now: float,
) -> None:
    """Record what a changed entry of the list says of its endpoint's start.

    :param previous: the entry before; ``None`` if the endpoint was not listed.
    """
    record_cold(fleet, entry, entry.cold_s, now)
    if previous is None or entry.born_ms > previous.born_ms:
        record_start(fleet, entry, now)


def record_start(fleet: FleetState, entry: ListedEndpoint, now: float) -> None:
    """Take an endpoint for cold, since it starts to be used."""
    spec = fleet.cold_starts.spec_by_service.get(entry.service)
    if spec is not None:
        record_cold(fleet, entry, spec.duration_s, now)


def record_cold(
    fleet: FleetState, entry: ListedEndpoint, for_s: float, now: float
) -> bool:
    """Record that an endpoint is cold; return whether that is new."""
    is_new = fleet.cold_starts.record(entry.id, entry.born_ms, for_s, now)
    if is_new and entry.service in fleet.cold_starts.spec_by_service:
        logger.info(
            "limits: endpoint is cold",
            extra={"endpoint": entry.id, "for_s": round(for_s, 3)},
        )
    return is_new


def record_cold_notice(
    fleet: FleetState, entry: ListedEndpoint, for_s: float, now: float
) -> None:
    """Record and send that an endpoint says in a response that it is cold."""
    if not record_cold(fleet, entry, for_s, now):
        return
    limit = fleet.request_limits.limit_of(entry, now)
    if limit is not None and limit.cold_s:
        fleet.notifier.notify_limit(limit)


def count_cold(fleet: FleetState) -> int:
    """Return the number of endpoints that are cold at present."""
    return fleet.cold_starts.count(trio.current_time())
