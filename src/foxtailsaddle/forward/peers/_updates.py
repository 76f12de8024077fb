"""Applies what the other instances send to this instance's view of the fleet."""

import typing as t

import trio

from ...core import InstanceId, NamedLimit
from .._fleet import FleetState
from ._messages import (
    ConfigurationChanged,
    EndpointDied,
    GrantReplied,
    GrantRequested,
    JobBegan,
    JobEnded,
    JobPlaced,
    LimitNamed,
    ListChanged,
    PartRefused,
    PartsCleared,
    PartTrialClaimed,
    SlowdownChanged,
    Update,
)


class PeerUpdates:
    """Applies the updates of other instances.

    :ivar on_list_changed: called with each change of the list of endpoints.
    :ivar on_configuration_changed: called with each configuration that a reader sends.
    :ivar on_grant_requested: called with an instance and its request for a grant.
    :ivar on_grant_replied: called with each reply to this instance's requests.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self.on_list_changed: t.Callable[[ListChanged], None] = lambda _: None
        self.on_configuration_changed: t.Callable[[ConfigurationChanged], None] = (
            lambda _: None
        )
        self.on_grant_requested: t.Callable[[InstanceId, GrantRequested], None] = (
            lambda *_: None
        )
        self.on_grant_replied: t.Callable[[GrantReplied], None] = lambda _: None

    def apply(self, sender: InstanceId, update: Update) -> None:
        """Apply an update.

        :param sender: the instance that sent it.
        """
        match update:
            case ListChanged():
                self.on_list_changed(update)
            case GrantRequested():
                self._apply_limit(update.limit)
                self.on_grant_requested(sender, update)
            case ConfigurationChanged():
                self.on_configuration_changed(update)
            case GrantReplied():
                self.on_grant_replied(update)
            case LimitNamed():
                self._apply_limit(update)
            case JobPlaced() | JobBegan() | JobEnded() | SlowdownChanged():
                self._apply_load(update)
            case _:
                self._apply_crash_evidence(update)

    def _apply_load(
        self, update: JobPlaced | JobBegan | JobEnded | SlowdownChanged
    ) -> None:
        now = trio.current_time()
        fleet = self._fleet
        match update:
            case JobPlaced():
                update.job.placed_at = now
                fleet.engine_loads.place(update.job, update.decode_ms, now)
            case JobBegan():
                fleet.engine_loads.begin(update.job, now)
            case JobEnded():
                fleet.apply_end(update.job, update.endpoint, update.outcome, now)
            case SlowdownChanged():
                fleet.health.record_slowdown(update.endpoint, update.slowdown, now)

    def _apply_crash_evidence(
        self, update: EndpointDied | PartRefused | PartsCleared | PartTrialClaimed
    ) -> None:
        now = trio.current_time()
        fleet = self._fleet
        match update:
            case EndpointDied():
                fleet.apply_death(update.death, now)
            case PartRefused():
                fleet.take_over_refusal(update.refused, now)
            case PartsCleared():
                fleet.apply_success(update.fingerprint, update.parts, update.age_s, now)
            case PartTrialClaimed():
                fleet.part_guard.claim_trial(update.parts, update.for_s, now)

    def _apply_limit(self, update: LimitNamed) -> None:
        now = trio.current_time()
        if update.cold_s:
            self._fleet.cold_starts.record(
                update.endpoint, update.start, update.cold_s, now
            )
            return
        heard_at = now - update.age_s
        limit = NamedLimit(update.endpoint, update.start, update.per_s, heard_at)
        self._fleet.take_over_limit(limit)
