"""Heartbeats to peers, and answers to what they ask."""

import logging
import typing as t

import trio

from ..core import (
    DataCentre,
    EndpointId,
    InstanceId,
    Liveness,
    Member,
    Members,
    MemberState,
    Pulse,
)
from ..errors import PlatformUnavailableError
from ..ports import (
    Ended,
    EndpointWord,
    Failed,
    GrantRequest,
    Heartbeat,
    ListedInstance,
    PeerMessage,
    Placed,
    Prefilled,
    QuoteRequest,
    Released,
    SettingsRequest,
    StartRequest,
    Suspicion,
)
from ._environment import Environment
from ._guards import CrashWatch, LimitGuard
from ._router import Router
from ._settings_keeper import SettingsKeeper

logger = logging.getLogger("foxtailsaddle.peers")

ROLE_INSTANCE = "foxtailsaddle"
ROLE_ENDPOINT = "endpoint"
PULSES_PER_BEAT = 32
NEWS_PER_BEAT = 3
LIST_INTERVAL_S = 2.0
REGISTER_S = 30.0


class Peering:
    """Owns the view of other instances and answers their messages."""

    def __init__(
        self,
        env: Environment,
        members: Members,
        keeper: SettingsKeeper,
        liveness: Liveness,
        router: Router,
        limits: LimitGuard,
        crashes: CrashWatch,
    ) -> None:
        self._env = env
        self._members = members
        self._keeper = keeper
        self._liveness = liveness
        self._router = router
        self._limits = limits
        self._crashes = crashes
        self._registered: tuple[MemberState, float] | None = None
        self._handler_by_type: dict[type, t.Callable[[t.Any], PeerMessage | None]] = {
            QuoteRequest: router.answer,
            Placed: router.note_placed,
            Prefilled: router.note_prefilled,
            Released: router.note_released,
            Failed: router.note_failed,
            GrantRequest: limits.answer,
            StartRequest: crashes.answer,
            Ended: crashes.note_ended,
            Suspicion: crashes.note_suspicion,
            SettingsRequest: keeper.reply_to,
        }

    async def answer(
        self, sender: InstanceId, message: PeerMessage
    ) -> PeerMessage | None:
        """Handle one message of a peer and return the reply, if it has one."""
        if isinstance(message, Heartbeat):
            await self._heard(sender, message)
            return None
        handler = self._handler_by_type.get(type(message))
        return handler(message) if handler is not None else None

    async def beat_forever(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self.beat()
            self._limits.forget_idle()
            await trio.sleep(self._env.settings.heartbeat_s)

    def beat(self, state: MemberState | None = None) -> None:
        """Send one heartbeat to a bounded number of peers."""
        changes: dict[str, t.Any] = {"revision": self._keeper.log.number}
        if state is not None:
            changes["state"] = state
        self._members.beat(**changes)
        message = self._heartbeat()
        for member in self._recipients():
            self._env.links.tell(member, message)
        live = len(self._members.live(self._env.clock.now()))
        self._env.metrics.peers.set({}, live)

    async def watch_list(self) -> None:
        """Read the platform's list of instances for ever."""
        while True:
            try:
                await self._register_if_due()
                listed = await self._env.platform.instances()
            except PlatformUnavailableError:
                logger.info("peers: list of instances not read")
            else:
                self._merge_list(listed)
            await trio.sleep(LIST_INTERVAL_S)

    async def leave(self) -> None:
        """Tell the peers and the platform that this instance is leaving."""
        self.beat(MemberState.LEAVING)
        try:
            await self._register()
        except PlatformUnavailableError:
            logger.info("peers: leaving not listed")

    async def _register_if_due(self) -> None:
        """Write the own line when it has changed, and now and then anyway."""
        now = self._env.clock.now()
        state = self._members.own.state
        if self._registered is not None:
            registered, at = self._registered
            if registered is state and now - at < REGISTER_S:
                return
        await self._register()
        self._registered = (state, now)

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
                self._members.seed(_member(item), now)
            elif item.leaving:
                self._liveness.listed_leaving(EndpointId(item.id), item.incarnation)
        staying = {item.id for item in listed if not item.leaving}
        self._members.forget(staying, now)

    def _heartbeat(self) -> Heartbeat:
        now = self._env.clock.now()
        pulses = self._members.pulses(PULSES_PER_BEAT, now, self._env.random.sample)
        words = [
            word
            for word in self._liveness.words(now)
            if self._router.owner(word[0]) == self._members.own.id
        ]
        return Heartbeat(
            members=(self._members.own, *self._descriptions(now)),
            known_hashes=tuple(pulse.hash for pulse in pulses),
            known_beats=tuple(pulse.beat for pulse in pulses),
            known_revisions=tuple(pulse.revision for pulse in pulses),
            revision=self._keeper.log.number,
            platform_age_s=self._keeper.platform_age_s,
            words=tuple(EndpointWord(*word) for word in words),
            suspicions=self._crashes.suspicions(),
        )

    def _descriptions(self, now: float) -> list[Member]:
        """Return recent news, and one other member so that all get about."""
        news = self._members.news(now)
        if len(news) > NEWS_PER_BEAT:
            news = self._env.random.sample(news, NEWS_PER_BEAT)
        known = self._members.known()
        return news + self._env.random.sample(known, min(1, len(known)))

    def _recipients(self) -> list[Member]:
        known = self._members.known()
        if not known:
            return [_unknown(str(seed)) for seed in self._env.settings.seed_peers]
        fanout = self._env.settings.gossip_fanout
        if len(known) <= fanout:
            return known
        return self._env.random.sample(known, fanout)

    async def _heard(self, sender: InstanceId, beat: Heartbeat) -> None:
        now = self._env.clock.now()
        for member in beat.members:
            self._members.merge(member, now)
        pulses = zip(
            beat.known_hashes, beat.known_beats, beat.known_revisions, strict=True
        )
        for pulse in pulses:
            self._members.merge_pulse(Pulse(*pulse), now)
        for word in beat.words:
            endpoint = EndpointId(word.endpoint)
            self._liveness.heard(
                endpoint, word.incarnation, word.leaving, now - word.age_s
            )
        for suspicion in beat.suspicions:
            self._crashes.note_suspicion(suspicion)
        await self._keeper.heard(sender, beat)


def _member(listed: ListedInstance) -> Member:
    return Member(
        id=InstanceId(listed.id),
        incarnation=listed.incarnation,
        beat=0,
        state=MemberState.LEAVING if listed.leaving else MemberState.LIVE,
        address=listed.address,
        data_centre=DataCentre(listed.data_centre),
        revision=0,
    )


def _unknown(address: str) -> Member:
    return Member(
        id=InstanceId(""),
        incarnation="",
        beat=0,
        state=MemberState.STARTING,
        address=address,
        data_centre=DataCentre(""),
        revision=0,
    )
