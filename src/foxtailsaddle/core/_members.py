"""Membership between instances: heartbeat counters, gossiped.

The platform's lagging list seeds the view; an instance is live while its own
heartbeat counter moves. No promise rests on all views being the same.
"""

import dataclasses
import typing as t
from enum import Enum

import xxhash

from ._ids import DataCentre, InstanceId

FORGET_S = 30.0
NEWS_S = 3.0
SUSPECT_MEMBERS = 64


class MemberState(Enum):
    """What an instance says of itself."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance as it described itself.

    :param beat: counter that its owner raises with each heartbeat.
    :param address: where its peers connect, ``host:port``.
    :param revision: revision of the settings that it has in force.
    """

    id: InstanceId
    incarnation: str
    beat: int
    state: MemberState
    address: str
    data_centre: DataCentre
    revision: int

    @property
    def hash(self) -> int:
        """A short name of this run of the instance, 32 bits."""
        return xxhash.xxh32_intdigest(f"{self.id}\0{self.incarnation}".encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """The part of a description that changes with each heartbeat."""

    hash: int
    beat: int
    revision: int


@dataclasses.dataclass(slots=True)
class _Seen:
    member: Member
    moved_at: float
    news_at: float


class Members:
    """All instances that this one has heard of, by id.

    :param suspect_s: seconds without a heartbeat before one counts as dead, in
        a small fleet. It grows with the fleet, because gossip takes longer.
    """

    def __init__(self, own: Member, suspect_s: float) -> None:
        self.own = own
        self._base_suspect_s = suspect_s
        self._seen_by_id: dict[InstanceId, _Seen] = {}
        self._id_by_hash: dict[int, InstanceId] = {}

    @property
    def _suspect_s(self) -> float:
        return self._base_suspect_s * (1 + len(self._seen_by_id) / SUSPECT_MEMBERS)

    def beat(self, **changes: object) -> Member:
        """Raise the own heartbeat counter and return the new description."""
        self.own = dataclasses.replace(self.own, beat=self.own.beat + 1, **changes)
        return self.own

    def merge(self, member: Member, now: float) -> bool:
        """Take in a description; return whether it was news."""
        if member.id == self.own.id:
            return False
        seen = self._seen_by_id.get(member.id)
        if seen is not None and not _is_newer(member, seen.member):
            return False
        is_news = seen is None or _is_news(member, seen.member)
        news_at = now if is_news else seen.news_at
        self._seen_by_id[member.id] = _Seen(member, now, news_at)
        self._id_by_hash[member.hash] = member.id
        return True

    def merge_pulse(self, pulse: Pulse, now: float) -> None:
        """Take in a heartbeat of a member whose description is known."""
        seen = self._seen_by_id.get(self._id_by_hash.get(pulse.hash))
        if seen is None or pulse.beat <= seen.member.beat:
            return
        seen.member = dataclasses.replace(
            seen.member, beat=pulse.beat, revision=pulse.revision
        )
        seen.moved_at = now

    def pulses(
        self,
        count: int,
        now: float,
        sample: t.Callable[[list[_Seen], int], list[_Seen]],
    ) -> list[Pulse]:
        """Return heartbeats of other live members.

        Always taking the freshest would spread the same few over and over.

        :param sample: chooses so many of a list at random.
        """
        live = [
            seen
            for seen in self._seen_by_id.values()
            if now - seen.moved_at <= self._suspect_s
        ]
        chosen = live if len(live) <= count else sample(live, count)
        return [
            Pulse(seen.member.hash, seen.member.beat, seen.member.revision)
            for seen in chosen
        ]

    def news(self, now: float) -> list[Member]:
        """Return the members that are new or have changed state lately."""
        return [
            seen.member
            for seen in self._seen_by_id.values()
            if now - seen.news_at <= NEWS_S
        ]

    def seed(self, member: Member, now: float) -> None:
        """Add an instance from the platform's list, unless it is known."""
        if member.id != self.own.id and member.id not in self._seen_by_id:
            self._seen_by_id[member.id] = _Seen(member, now, now)
            self._id_by_hash[member.hash] = member.id

    def forget(self, listed: t.Collection[str], now: float) -> None:
        """Drop silent instances that the platform's list no longer names.

        Silence alone is no reason: during a partition it would turn each side
        into a majority of what it still remembers.
        """
        gone = [
            key
            for key, seen in self._seen_by_id.items()
            if key not in listed and now - seen.moved_at > FORGET_S
        ]
        for key in gone:
            seen = self._seen_by_id.pop(key)
            self._id_by_hash.pop(seen.member.hash, None)

    def live(self, now: float) -> list[Member]:
        """Return the members whose heartbeat moves, this instance included."""
        others = (
            seen.member
            for seen in self._seen_by_id.values()
            if now - seen.moved_at <= self._suspect_s
        )
        return [self.own, *others]

    def owners(self, now: float) -> list[InstanceId]:
        """Return the instances that may own keys: live, and not leaving."""
        ids = [
            member.id
            for member in self.live(now)
            if member.state is not MemberState.LEAVING
        ]
        return sorted(ids) or [self.own.id]

    def hears_majority(self, now: float) -> bool:
        """Return whether more than half of the known members are live."""
        staying = [
            member for member in self.known() if member.state is not MemberState.LEAVING
        ]
        heard = sum(self.silent_s(m.id, now) <= self._suspect_s for m in staying)
        return 2 * (heard + 1) > len(staying) + 1

    def known(self) -> list[Member]:
        """Return every member heard of, live or not, except this instance."""
        return [seen.member for seen in self._seen_by_id.values()]

    def get(self, instance_id: InstanceId) -> Member | None:
        """Return the member with this id."""
        if instance_id == self.own.id:
            return self.own
        seen = self._seen_by_id.get(instance_id)
        return seen.member if seen else None

    def silent_s(self, instance_id: InstanceId, now: float) -> float:
        """Return the seconds since the member's heartbeat last moved."""
        seen = self._seen_by_id.get(instance_id)
        return now - seen.moved_at if seen else float("inf")


def _is_news(new: Member, old: Member) -> bool:
    return (new.incarnation, new.state) != (old.incarnation, old.state)


def _is_newer(new: Member, old: Member) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.beat > old.beat
