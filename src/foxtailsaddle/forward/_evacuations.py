"""Puts evacuations of data centres in force and logs them."""

import logging
import typing as t

import trio

from ..core import DataCentre, EvacuatedDataCentres, ListedEndpoint
from ._cold_starts import record_start
from ._fleet import FleetState

logger = logging.getLogger("foxtailsaddle.evacuations")


def update_evacuations(
    fleet: FleetState, evacuated: EvacuatedDataCentres, source: str, now: float
) -> bool:
    """Take over which data centres are evacuated, as of a version of the store.

    :param source: where it was heard, for the log.
    :returns: whether an evacuation has begun or ended.
    """
    if evacuated.version <= fleet.evacuations.known.version:
        return False
    since = dict(fleet.evacuations.since_by_data_centre)
    changed = fleet.evacuations.update(evacuated, now)
    _record_evacuation_changes(fleet, changed, since, source, now)
    return bool(changed)


def expire_evacuations(fleet: FleetState, now: float) -> None:
    """End the evacuations that a restored store has not shown again."""
    since = dict(fleet.evacuations.since_by_data_centre)
    changed = fleet.evacuations.expire(now)
    _record_evacuation_changes(fleet, changed, since, "restored store", now)


def _record_evacuation_changes(
    fleet: FleetState,
    changed: set[DataCentre],
    since: dict[DataCentre, float],
    source: str,
    now: float,
) -> None:
    for data_centre in sorted(changed):
        entries = [e for e in fleet.endpoints.all() if e.data_centre == data_centre]
        fields = {
            "data_centre": data_centre,
            "from": source,
            "endpoints": len(entries),
            "jobs": _count_jobs(fleet, entries, now),
        }
        if fleet.evacuations.is_evacuated(data_centre):
            logger.info("evacuations: begun", extra=fields)
            continue
        fields["after_s"] = round(now - since[data_centre], 3)
        logger.info("evacuations: ended", extra=fields)
        for entry in entries:
            record_start(fleet, entry, now)


def _count_jobs(
    fleet: FleetState, entries: t.Iterable[ListedEndpoint], now: float
) -> int:
    return sum(fleet.engine_loads.load(entry.id, now).requests for entry in entries)


def count_evacuated_jobs(fleet: FleetState) -> int:
    """Return the number of jobs that still run in evacuated data centres."""
    is_evacuated = fleet.evacuations.is_evacuated
    entries = [e for e in fleet.endpoints.all() if is_evacuated(e.data_centre)]
    return _count_jobs(fleet, entries, trio.current_time())
