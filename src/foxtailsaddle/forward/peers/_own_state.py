"""What this instance repeats to others, and sends to one that has appeared."""

import typing as t

import trio

from ...core import EndpointDeath, EndpointId, InstanceId
from .._fleet import DEATH_MEMORY_S, FleetState
from ._audiences import JobAudiences
from ._messages import (
    EndpointDied,
    JobBegan,
    JobPlaced,
    PartRefused,
    PartsCleared,
    Update,
)
from ._outbox import limit_update
from ._peer import Peer

MAX_SENT_DEATHS = 60


def refusals(fleet: FleetState) -> list[Update]:
    """Return the parts of prompts that are refused at present."""
    refused_parts = fleet.part_guard.refused_parts(trio.current_time())
    return [PartRefused(refused) for refused in refused_parts]


def granted_limits(
    fleet: FleetState, granting_instance: t.Callable[[EndpointId], InstanceId]
) -> list[Update]:
    """Return the limits whose requests this instance grants."""
    now = trio.current_time()
    return [
        limit_update(limit, now)
        for limit in fleet.listed_limits()
        if granting_instance(limit.endpoint) == fleet.instance
    ]


def remembered_deaths(fleet: FleetState) -> list[Update]:
    """Return the crashes that still count against requests, with their age."""
    suspicions = fleet.crash_guard.suspicions(trio.current_time())
    return [
        EndpointDied(EndpointDeath(fingerprint, crash, age_s=DEATH_MEMORY_S - left_s))
        for fingerprint, crash, left_s in suspicions[:MAX_SENT_DEATHS]
    ]


def updates_for(peer: Peer, fleet: FleetState, audiences: JobAudiences) -> list[Update]:
    """Return this instance's jobs, and what it knows of crashes, parts and limits."""
    now = trio.current_time()
    updates = refusals(fleet)
    updates += remembered_deaths(fleet)
    updates += [limit_update(limit, now) for limit in fleet.listed_limits()]
    vouched_parts = fleet.part_guard.vouched_parts(now)
    if vouched_parts:
        age_s = fleet.part_guard.success_age_s(vouched_parts, now)
        updates.append(PartsCleared(vouched_parts, age_s))
    for job in fleet.engine_loads.jobs_of(fleet.instance):
        if not audiences.includes(peer, job.id):
            continue
        decode_ms = max(0.0, job.ends_at - max(now, job.first_event_at)) * 1000
        updates.append(JobPlaced(job, decode_ms))
        if job.first_event_confirmed:
            updates.append(JobBegan(job.id))
    return updates
