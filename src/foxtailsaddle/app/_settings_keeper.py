"""Keeps the settings in force: follows the log, and accepts changes to it."""

import dataclasses
import json
import logging
import typing as t

import trio

from ..core import Members, Revision, RevisionLog
from ..errors import (
    FoxtailsaddleError,
    NotFoundError,
    PlatformUnavailableError,
    PreconditionFailedError,
    SettingsConflictError,
    SettingsError,
    WriteOutcomeUnknownError,
)
from ..ports import Heartbeat, Row, SettingsReply, SettingsRequest
from ._environment import Environment

logger = logging.getLogger("foxtailsaddle.settings")

TABLE = "settings"
SNAPSHOT_TABLE = "settings_snapshots"
SNAPSHOT_KEY = "latest"
SNAPSHOT_EVERY = 100
FOUND_WITHIN = 1000
KEY_DIGITS = 12
FENCE_AUTHOR = "foxtailsaddle"
FENCE_ATTEMPTS = 5
PEER_SETTINGS_S = 2.0
READ_JITTER = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What an operator asks for.

    :param id: given by the operator; asking again with it changes nothing.
    :param base: the revision that the operator saw.
    """

    id: str
    author: str
    base: int
    patch: dict[str, t.Any]


class SettingsKeeper:
    """Owns the revision log of this instance.

    A change is accepted by inserting revision N+1 into the platform's table if
    absent, so of two racing operators one wins, and nothing can revert.
    """

    def __init__(self, env: Environment, members: Members) -> None:
        self._env = env
        self._members = members
        self.log = RevisionLog(env.settings.confirm_bound_s)
        self._head_read_at = float("-inf")
        self._peer_head_age_by_id: dict[str, tuple[float, float]] = {}

    @property
    def platform_age_s(self) -> float:
        """Seconds since the head was read from the platform; -1 for never."""
        age_s = self._env.clock.now() - self._head_read_at
        return age_s if age_s != float("inf") else -1.0

    async def bootstrap(self, tree: dict[str, t.Any]) -> None:
        """Insert ``tree`` as revision 1 when the platform has no settings yet."""
        first = Revision(1, "bootstrap", "file", tree, self._env.clock.wall_ms())
        try:
            await self._insert(first)
        except (PreconditionFailedError, FoxtailsaddleError):
            logger.info("settings: first revision not inserted")

    async def follow(self) -> None:
        """Read new revisions for ever."""
        while True:
            await self.refresh()
            interval_s = self._env.settings.settings_interval_s
            jitter = self._env.random.uniform(1 - READ_JITTER, 1 + READ_JITTER)
            await trio.sleep(interval_s * jitter)

    async def refresh(self) -> None:
        """Read new revisions once; confirm by peers when the platform is down."""
        started_at = self._env.clock.now()
        try:
            await self._read_platform()
        except PlatformUnavailableError:
            self.confirm_by_peers()
            return
        except SettingsError as error:
            # Accepted by an instance of a later version: this one can't follow,
            # so it confirms nothing and takes no new requests.
            logger.error("settings: not understood", extra={"error": error.message})
            return
        self._head_read_at = started_at
        self.log.confirm(self.log.number, started_at)
        self._env.metrics.revision.set({}, self.log.number)

    def confirm_by_peers(self) -> None:
        """Confirm the own revision by what peers say, without the platform.

        A peer that read the head lately confirms as of then. When a majority
        of the known members is heard and none of them reaches the platform
        either, nobody can accept a change, so the own revision is the newest.
        """
        now = self._env.clock.now()
        ages = [
            age_s + now - heard_at
            for age_s, heard_at in self._peer_head_age_by_id.values()
            if age_s >= 0
        ]
        youngest = min(ages, default=float("inf"))
        bound_s = self._env.settings.confirm_bound_s
        if youngest <= bound_s:
            self.log.confirm(self.log.number, now - youngest)
        elif now - self._head_read_at > bound_s and self._members.hears_majority(now):
            self.log.confirm(self.log.number, now)

    async def heard(self, sender: str, beat: Heartbeat) -> None:
        """Take in a peer's word; fetch its settings when they are newer."""
        if beat.revision > self.log.number:
            await self._fetch_from_peer(sender)
        if beat.revision <= self.log.number:
            heard_at = self._env.clock.now()
            self._peer_head_age_by_id[sender] = (beat.platform_age_s, heard_at)

    def reply_to(self, request: SettingsRequest) -> SettingsReply:
        """Return the own settings to a peer that has older ones."""
        if request.newer_than >= self.log.number:
            return SettingsReply(self.log.number, "")
        return SettingsReply(self.log.number, json.dumps(self.log.document))

    async def accept(self, change: Change) -> Revision:
        """Accept a change, or say truthfully why not.

        :raises SettingsError: the patched settings are not valid.
        :raises SettingsConflictError: another change was accepted first.
        :raises PlatformUnavailableError: not accepted; nothing was changed.
        :raises WriteOutcomeUnknownError: ask again with the change's id.
        """
        if not self._members.hears_majority(self._env.clock.now()):
            raise PlatformUnavailableError(
                "this instance does not hear a majority of the instances"
            )
        await self._read_platform()
        earlier = await self._find(change.id)
        if earlier is not None:
            return earlier
        if change.base != self.log.number:
            raise await self._conflict(change, self.log.number)
        self.log.preview(change.patch, f'change "{change.id}"')
        revision = Revision(
            change.base + 1,
            change.id,
            change.author,
            change.patch,
            self._env.clock.wall_ms(),
        )
        await self._insert_known(revision, change)
        await self._read_platform()
        await self._write_snapshot()
        return revision

    async def history(self, after: int) -> list[Revision]:
        """Return the accepted revisions behind ``after``."""
        found: list[Revision] = []
        while True:
            last = found[-1].number if found else after
            rows = await self._env.platform.scan(TABLE, _key(last))
            if not rows:
                return found
            found += [Revision(**row.value) for row in rows]

    async def change(self, change_id: str) -> Revision:
        """Return what became of a change.

        :raises NotFoundError: it was not accepted.
        """
        await self._read_platform()
        found = await self._find(change_id)
        if found is None:
            raise NotFoundError(
                f'change "{change_id}" was not accepted within the last '
                f"{FOUND_WITHIN} revisions"
            )
        return found

    async def _find(self, change_id: str) -> Revision | None:
        after = max(0, self.log.number - FOUND_WITHIN)
        for revision in await self.history(after):
            if revision.change == change_id:
                return revision
        return None

    async def _conflict(self, change: Change, head: int) -> SettingsConflictError:
        others = await self.history(min(change.base, head))
        names = ", ".join(
            f'revision {other.number} "{other.change}" by {other.author}'
            for other in others
        )
        return SettingsConflictError(
            f'change "{change.id}" is based on revision {change.base}, '
            f"but revision {head} is in force: {names}"
        )

    async def _insert_known(self, revision: Revision, change: Change) -> None:
        """Insert a revision and find out whether that took effect."""
        try:
            await self._insert(revision)
            return
        except PreconditionFailedError:
            pass
        except WriteOutcomeUnknownError:
            await self._fence(revision.number)
        row = await self._row(revision.number)
        if row.value["change"] == change.id:
            return
        if row.value["author"] == FENCE_AUTHOR:
            raise PlatformUnavailableError(f'change "{change.id}" was not accepted')
        await self._read_platform()
        raise await self._conflict(change, self.log.number)

    async def _fence(self, number: int) -> None:
        """Fill a number whose insert has an unknown outcome.

        Reading it back absent would prove nothing, since the write may still
        be on its way. An empty revision in its place proves that it lost.
        """
        fence = Revision(
            number,
            f"fence-{number}-{self._env.incarnation}",
            FENCE_AUTHOR,
            {},
            self._env.clock.wall_ms(),
        )
        for _ in range(FENCE_ATTEMPTS):
            try:
                await self._insert(fence)
                return
            except PreconditionFailedError:
                return
            except (PlatformUnavailableError, WriteOutcomeUnknownError):
                await trio.sleep(self._env.random.uniform(0.1, 0.5))
        raise WriteOutcomeUnknownError(
            f"revision {number} may have been accepted; ask after the change's id"
        )

    async def _row(self, number: int) -> Row:
        row = await self._env.platform.get(TABLE, _key(number))
        if row is None:
            raise WriteOutcomeUnknownError(f"revision {number} can't be read back")
        return row

    async def _insert(self, revision: Revision) -> None:
        value = dataclasses.asdict(revision)
        await self._env.platform.put(TABLE, _key(revision.number), value, expected=0)

    async def _read_platform(self) -> None:
        if self.log.number == 0:
            await self._read_snapshot()
        while True:
            rows = await self._env.platform.scan(TABLE, _key(self.log.number))
            for row in rows:
                self.log.apply(Revision(**row.value))
            if not rows:
                return

    async def _read_snapshot(self) -> None:
        row = await self._env.platform.get(SNAPSHOT_TABLE, SNAPSHOT_KEY)
        if row is not None:
            self.log.adopt(row.value["number"], row.value["document"])

    async def _write_snapshot(self) -> None:
        """Shorten the next start; a lost snapshot costs only time."""
        if self.log.number % SNAPSHOT_EVERY:
            return
        try:
            row = await self._env.platform.get(SNAPSHOT_TABLE, SNAPSHOT_KEY)
            if row is None or row.value["number"] < self.log.number:
                value = {"number": self.log.number, "document": self.log.document}
                expected = row.version if row else 0
                await self._env.platform.put(
                    SNAPSHOT_TABLE, SNAPSHOT_KEY, value, expected
                )
        except FoxtailsaddleError:
            logger.info("settings: snapshot not written")

    async def _fetch_from_peer(self, sender: str) -> None:
        member = self._members.get(sender)
        if member is None:
            return
        reply = await self._env.links.ask(
            member, SettingsRequest(self.log.number), PEER_SETTINGS_S
        )
        if isinstance(reply, SettingsReply) and reply.document:
            self.log.adopt(reply.revision, json.loads(reply.document))
            logger.info("settings: adopted from peer", extra={"from": sender})


def _key(number: int) -> str:
    return f"{number:0{KEY_DIGITS}d}"
