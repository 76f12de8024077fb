"""Sends heartbeats to peers and handles their messages."""

import logging
import typing as t

import trio

from ..core import (
    DataCentre,
    EndpointId,
    HeartbeatDigest,
    InstanceId,
    Liveness,
    Member,
    Members,
    MemberState,
)
from ..errors import PlatformUnavailableError
from ..ports import (
    ClearedParts,
    Ended,
    EndpointWord,
    Failed,
    GrantRequest,
    Heartbeat,
    ListedInstance,
    PartTrial,
    PeerMessage,
    Placed,
    Prefilled,
    QuoteRequest,
    Released,
    SettingsRequest,
    StartRequest,
    SuspectedParts,
    Suspicion,
)
from ._admission import CrashQuarantine, RateLimiter
from ._environment import Environment
from ._part_quarantine import PartQuarantine
from ._router import Router
from ._settings_manager import SettingsManager

logger = logging.getLogger("foxtailsaddle.peers")

ROLE_INSTANCE = "foxtailsaddle"
ROLE_ENDPOINT = "endpoint"
DIGESTS_PER_HEARTBEAT = 32
MAX_CHANGED_MEMBERS_PER_HEARTBEAT = 3
INSTANCE_LIST_INTERVAL_S = 2.0
REGISTER_INTERVAL_S = 30.0


class Peering:
    """Maintains the view of other instances and answers their messages."""

    def __init__(
        self,
        env: Environment,
        members: Members,
        settings_manager: SettingsManager,
        liveness: Liveness,
        router: Router,
        rate_limiter: RateLimiter,
        crash_quarantine: CrashQuarantine,
        part_quarantine: PartQuarantine,
    ) -> None:
        self._env = env
        self._members = members
        self._settings_manager = settings_manager
        self._liveness = liveness
        self._router = router
        self._rate_limiter = rate_limiter
        self._crash_quarantine = crash_quarantine
        self._part_quarantine = part_quarantine
        self._last_registration: tuple[MemberState, float] | None = None
        self._handler_by_type: dict[type, t.Callable[[t.Any], PeerMessage | None]] = {
            QuoteRequest: router.answer_quote_request,
            Placed: router.record_placed,
            Prefilled: router.record_prefilled,
            Released: router.record_released,
            Failed: router.record_failed,
            GrantRequest: rate_limiter.grant,
            StartRequest: crash_quarantine.decide_start,
            Ended: crash_quarantine.record_ended,
            Suspicion: crash_quarantine.record_suspicion,
            SuspectedParts: part_quarantine.record_crash,
            ClearedParts: part_quarantine.record_success,
            PartTrial: part_quarantine.record_trial,
            SettingsRequest: settings_manager.answer_settings_request,
        }

    async def handle_message(
        self, sender: InstanceId, message: PeerMessage
    ) -> PeerMessage | None:
        """Handle one message of a peer and return the reply, if there is one."""
        if isinstance(message, Heartbeat):
            await self._merge_heartbeat(sender, message)
            return None
        handler = self._handler_by_type.get(type(message))
        return handler(message) if handler is not None else None

    async def send_heartbeats(self) -> None:
        """Send heartbeats at the configured interval, until cancelled."""
        while True:
            self.send_heartbeat()
            self._rate_limiter.forget_idle()
            await trio.sleep(self._env.settings.heartbeat_s)

    def send_heartbeat(self, state: MemberState | None = None) -> None:
        """Send one heartbeat to a bounded number of peers."""
        changes: dict[str, t.Any] = {"revision": self._settings_manager.log.number}
        if state is not None:
            changes["state"] = state
        self._members.increment_heartbeat(**changes)
        message = self._build_heartbeat()
        for member in self._recipients():
            self._env.links.tell(member, message)
        live = len(self._members.live(self._env.clock.now()))
        self._env.metrics.live_instances.set({}, live)

    async def follow_instance_list(self) -> None:
        """Read the platform's list of instances periodically, until cancelled."""
        while True:
            try:
                await self._register_if_due()
                listed = await self._env.platform.instances()
            except PlatformUnavailableError:
                logger.info("peers: could not read the list of instances")
            else:
                self._merge_list(listed)
            await trio.sleep(INSTANCE_LIST_INTERVAL_S)

    async def leave(self) -> None:
        """Tell the peers and the platform that this instance is leaving."""
        self.send_heartbeat(MemberState.LEAVING)
        try:
            await self._register()
        except PlatformUnavailableError:
            logger.info("peers: departure not registered")

    def request_registration(self) -> None:
        """Register again soon; a restored platform may have lost the entry."""
        self._last_registration = None

    async def _register_if_due(self) -> None:
        """Register this instance if its state changed or the interval has passed."""
        now = self._env.clock.now()
        state = self._members.own.state
        if self._last_registration is not None:
            registered, at = self._last_registration
            if registered is state and now - at < REGISTER_INTERVAL_S:
                return
        await self._register()
        self._last_registration = (state, now)

    async def _register(self) -> None:
        own = self._members.own
        listed = ListedInstance(
            id=own.id,
            role=ROLE_INSTANCE,
            address=own.address,
            data_centre=own.data_centre,
            incarnation=own.incarnation,
            leaving=own.state is MemberState.LEAVING,
        )
        await self._env.platform.register(listed)

    def _merge_list(self, listed: list[ListedInstance]) -> None:
        now = self._env.clock.now()
        for item in listed:
            if item.role == ROLE_INSTANCE:
                self._members.seed(_listed_member(item), now)
            elif item.leaving:
                self._liveness.listed_leaving(EndpointId(item.id), item.incarnation)
        staying = {item.id for item in listed if not item.leaving}
        self._members.forget(staying, now)

    def _build_heartbeat(self) -> Heartbeat:
        now = self._env.clock.now()
        digests = self._members.sample_digests(
            DIGESTS_PER_HEARTBEAT, now, self._env.random.sample
        )
        reports = [
            report
            for report in self._liveness.recent_reports(now)
            if self._router.owner(report[0]) == self._members.own.id
        ]
        return Heartbeat(
            members=(self._members.own, *self._members_to_send(now)),
            known_hashes=tuple(digest.hash for digest in digests),
            known_beats=tuple(digest.beat for digest in digests),
            known_revisions=tuple(digest.revision for digest in digests),
            revision=self._settings_manager.log.number,
            platform_age_s=self._settings_manager.platform_age_s,
            words=tuple(EndpointWord(*report) for report in reports),
            suspicions=self._crash_quarantine.suspicions(),
            refused_parts=self._part_quarantine.refused_parts(),
        )

    def _members_to_send(self, now: float) -> list[Member]:
        """Return recently changed members and one other.

        The other is random, so that over time the state of every member reaches all
        instances.
        """
        changed = self._members.recent_changes(now)
        if len(changed) > MAX_CHANGED_MEMBERS_PER_HEARTBEAT:
            changed = self._env.random.sample(
                changed, MAX_CHANGED_MEMBERS_PER_HEARTBEAT
            )
        known = self._members.known()
        return changed + self._env.random.sample(known, min(1, len(known)))

    def _recipients(self) -> list[Member]:
        known = self._members.known()
        if not known:
            return [
                _placeholder_member(str(seed)) for seed in self._env.settings.seed_peers
            ]
        fanout = self._env.settings.gossip_fanout
        if len(known) <= fanout:
            return known
        return self._env.random.sample(known, fanout)

    async def _merge_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        now = self._env.clock.now()
        for member in heartbeat.members:
            self._members.merge(member, now)
        digests = zip(
            heartbeat.known_hashes,
            heartbeat.known_beats,
            heartbeat.known_revisions,
            strict=True,
        )
        for digest in digests:
            self._members.merge_digest(HeartbeatDigest(*digest), now)
        for report in heartbeat.words:
            endpoint = EndpointId(report.endpoint)
            self._liveness.record_report(
                endpoint, report.incarnation, report.leaving, now - report.age_s
            )
        for suspicion in heartbeat.suspicions:
            self._crash_quarantine.record_suspicion(suspicion)
        for refused in heartbeat.refused_parts:
            self._part_quarantine.refuse(refused)
        await self._settings_manager.process_heartbeat(sender, heartbeat)


def _listed_member(listed: ListedInstance) -> Member:
    return Member(
        id=InstanceId(listed.id),
        incarnation=listed.incarnation,
        beat=0,
        state=MemberState.LEAVING if listed.leaving else MemberState.LIVE,
        address=listed.address,
        data_centre=DataCentre(listed.data_centre),
        revision=0,
    )


def _placeholder_member(address: str) -> Member:
    """Return a member for a seed address, whose id is not known yet."""
    return Member(
        id=InstanceId(""),
        incarnation="",
        beat=0,
        state=MemberState.STARTING,
        address=address,
        data_centre=DataCentre(""),
        revision=0,
    )
