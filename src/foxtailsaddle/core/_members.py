"""Membership of the fleet of instances, from gossiped heartbeat counters.

The platform's lagging list provides the first members. An instance is live while
its heartbeat counter increases. Correctness never depends on the instances having
the same view of the membership.
"""

import dataclasses
import typing as t
from enum import Enum

import xxhash

from ._ids import DataCentre, InstanceId

FORGET_AFTER_S = 30.0
RECENT_CHANGE_S = 3.0  # during which a change is gossiped
TIMEOUT_SCALE_MEMBERS = 64  # the base timeout is added once per this many members


class MemberState(Enum):
    """State that an instance reports of itself."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Description of an instance, as published by itself.

    :param incarnation: run of the instance; a later one is greater.
    :param beat: counter that the instance increases with each heartbeat.
    :param address: address for peers, ``host:port``.
    :param revision: revision of the settings that are in force there.
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
        """A 32-bit hash that identifies this run of the instance."""
        return xxhash.xxh32_intdigest(f"{self.id}\0{self.incarnation}".encode())


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDigest:
    """The part of a member's description that changes with each heartbeat.

    :param hash: see ``Member.hash``.
    """

    hash: int
    beat: int
    revision: int


@dataclasses.dataclass(slots=True)
class _KnownMember:
    """A member that this instance has heard of.

    :ivar heartbeat_at: when its heartbeat counter last increased.
    :ivar changed_at: when its incarnation or state last changed.
    """

    member: Member
    heartbeat_at: float
    changed_at: float


class Members:
    """All instances that this one has heard of, by id.

    :param own: description of this instance.
    :param timeout_s: seconds without a heartbeat after which a member counts as
        dead, in a small fleet. The timeout grows with the fleet, because gossip
        takes longer.
    """

    def __init__(self, own: Member, timeout_s: float) -> None:
        self.own = own
        self._base_timeout_s = timeout_s
        self._known_by_id: dict[InstanceId, _KnownMember] = {}
        self._id_by_hash: dict[int, InstanceId] = {}

    @property
    def _timeout_s(self) -> float:
        return self._base_timeout_s * (
            1 + len(self._known_by_id) / TIMEOUT_SCALE_MEMBERS
        )

    def increment_heartbeat(self, **changes: object) -> Member:
        """Increase the own heartbeat counter and return the new description."""
        self.own = dataclasses.replace(self.own, beat=self.own.beat + 1, **changes)
        return self.own

    def merge(self, member: Member, now: float) -> bool:
        """Record a received description; return whether it was newer."""
        if member.id == self.own.id:
            return False
        known = self._known_by_id.get(member.id)
        if known is not None and not _is_newer(member, known.member):
            return False
        is_change = known is None or _is_change(member, known.member)
        changed_at = now if is_change else known.changed_at
        self._known_by_id[member.id] = _KnownMember(member, now, changed_at)
        self._id_by_hash[member.hash] = member.id
        return True

    def merge_digest(self, digest: HeartbeatDigest, now: float) -> None:
        """Record a received heartbeat of a member whose description is known."""
        known = self._known_by_id.get(self._id_by_hash.get(digest.hash))
        if known is None or digest.beat <= known.member.beat:
            return
        known.member = dataclasses.replace(
            known.member, beat=digest.beat, revision=digest.revision
        )
        known.heartbeat_at = now

    def sample_digests(
        self,
        count: int,
        now: float,
        sample: t.Callable[[list[_KnownMember], int], list[_KnownMember]],
    ) -> list[HeartbeatDigest]:
        """Return the heartbeats of at most ``count`` other live members.

        They are sampled at random: always choosing the latest would gossip about
        the same few members again and again.

        :param sample: returns a random sample of a list, of the given size.
        """
        live = [
            known
            for known in self._known_by_id.values()
            if now - known.heartbeat_at <= self._timeout_s
        ]
        sampled = live if len(live) <= count else sample(live, count)
        return [
            HeartbeatDigest(known.member.hash, known.member.beat, known.member.revision)
            for known in sampled
        ]

    def recent_changes(self, now: float) -> list[Member]:
        """Return the members that are new or have recently changed state."""
        return [
            known.member
            for known in self._known_by_id.values()
            if now - known.changed_at <= RECENT_CHANGE_S
        ]

    def seed(self, member: Member, now: float) -> None:
        """Add an instance from the platform's list, unless it is known."""
        if member.id != self.own.id and member.id not in self._known_by_id:
            self._known_by_id[member.id] = _KnownMember(member, now, now)
            self._id_by_hash[member.hash] = member.id

    def forget(self, listed: t.Collection[str], now: float) -> None:
        """Delete silent members that the platform's list no longer contains.

        Silence alone does not suffice: during a partition, each side would
        forget the other and then consider itself a majority.

        :param listed: ids of the instances on the platform's list.
        """
        forgotten = [
            key
            for key, known in self._known_by_id.items()
            if key not in listed and now - known.heartbeat_at > FORGET_AFTER_S
        ]
        for key in forgotten:
            known = self._known_by_id.pop(key)
            self._id_by_hash.pop(known.member.hash, None)

    def live(self, now: float) -> list[Member]:
        """Return the live members, including this instance."""
        others = (
            known.member
            for known in self._known_by_id.values()
            if now - known.heartbeat_at <= self._timeout_s
        )
        return [self.own, *others]

    def owners(self, now: float) -> list[InstanceId]:
        """Return the sorted ids of the live members that may own keys.

        Members that leave own no keys.
        """
        ids = [
            member.id
            for member in self.live(now)
            if member.state is not MemberState.LEAVING
        ]
        return sorted(ids) or [self.own.id]

    def has_live_majority(self, now: float) -> bool:
        """Return whether more than half of the known members are live.

        This instance is counted, members that leave are not.
        """
        remaining = [
            member for member in self.known() if member.state is not MemberState.LEAVING
        ]
        live_count = sum(
            self.heartbeat_age_s(m.id, now) <= self._timeout_s for m in remaining
        )
        return 2 * (live_count + 1) > len(remaining) + 1

    def known(self) -> list[Member]:
        """Return all known members, live or not, except this instance."""
        return [known.member for known in self._known_by_id.values()]

    def get(self, instance_id: InstanceId) -> Member | None:
        """Return the member with this id, or ``None``."""
        if instance_id == self.own.id:
            return self.own
        known = self._known_by_id.get(instance_id)
        return known.member if known else None

    def heartbeat_age_s(self, instance_id: InstanceId, now: float) -> float:
        """Return the seconds since the member's last heartbeat."""
        known = self._known_by_id.get(instance_id)
        return now - known.heartbeat_at if known else float("inf")


def _is_change(new: Member, old: Member) -> bool:
    return (new.incarnation, new.state) != (old.incarnation, old.state)


def _is_newer(new: Member, old: Member) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.beat > old.beat
