"""Manages the settings in force: reads new revisions and accepts changes."""

import dataclasses
import json
import logging
import typing as t

import trio

from .._input_readers import read_int, read_json, read_text, reading
from ..core import NUMBERS_PER_ERA, Members, Revision, RevisionLog, next_number
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
from ._restore_monitor import RestoreMonitor

logger = logging.getLogger("foxtailsaddle.settings")

TABLE = "settings"
SNAPSHOT_TABLE = "settings_snapshots"
SNAPSHOT_KEY = "latest"
REVISIONS_PER_SNAPSHOT = 100
CHANGE_SEARCH_REVISIONS = 1000
ROW_KEY_DIGITS = 12
FENCE_AUTHOR = "foxtailsaddle"
MAX_FENCE_ATTEMPTS = 5
PEER_FETCH_TIMEOUT_S = 2.0
MAX_CHANGE_ID_BYTES = 1000  # four a character
POLL_JITTER = 0.2  # of the interval, either way


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A settings change that an operator requests.

    :param id: chosen by the operator; repeating a change with it has no effect.
    :param base: number of the revision that the change is based on.
    """

    id: str
    author: str
    base: int
    patch: dict[str, t.Any]


class SettingsManager:
    """Manages the revision log of this instance.

    A change is accepted by inserting revision N+1 into the platform's table if
    absent, so only one of two concurrent changes succeeds, and an accepted
    revision is never overwritten.

    The local revision is confirmed as of the last time at which it was known to be
    the newest. When that is too long ago, the instance admits no new requests.

    :ivar log: the local revision with its settings and its confirmation.
    """

    def __init__(
        self, env: Environment, members: Members, restore_monitor: RestoreMonitor
    ) -> None:
        self._env = env
        self._restore_monitor = restore_monitor
        self._members = members
        self.log = RevisionLog(env.settings.confirm_bound_s)
        self._head_read_at = float("-inf")
        self._peer_platform_age_by_id: dict[str, tuple[float, float]] = {}
        self._is_snapshot_due = False
        restore_monitor.on_restore.append(self._request_snapshot)

    def _request_snapshot(self) -> None:
        """Make the next read write a snapshot.

        The platform may have lost revisions that are in force here.
        """
        self._is_snapshot_due = True

    @property
    def platform_age_s(self) -> float:
        """Seconds since the newest revision was read from the platform; -1 if never."""
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
        """Read new revisions at the configured interval, until cancelled."""
        while True:
            await self.refresh()
            interval_s = self._env.settings.settings_interval_s
            jitter = self._env.random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            await trio.sleep(interval_s * jitter)

    async def refresh(self) -> None:
        """Read new revisions once and confirm the local one.

        While the platform is down, the peers' heartbeats confirm it instead.
        """
        started_at = self._env.clock.now()
        try:
            await self._read_platform()
            await self._write_snapshot()
        except PlatformUnavailableError:
            self.confirm_from_peers()
            return
        except SettingsError as error:
            # A newer version accepted this revision; since it can't be applied
            # here, the settings stay unconfirmed and new requests are refused.
            logger.error(
                "settings: revision can't be applied", extra={"error": error.message}
            )
            return
        self._head_read_at = started_at
        self.log.confirm(self.log.number, started_at)
        self._env.metrics.settings_revision.set({}, self.log.number)

    def confirm_from_peers(self) -> None:
        """Confirm the local revision from the peers' heartbeats, without the platform.

        A peer that read the newest revision recently confirms it as of that
        time. When heartbeats arrive from a majority of the known members and none
        of them reaches the platform either, no instance can accept a change, so the
        local revision is the newest.
        """
        now = self._env.clock.now()
        ages_s = [
            age_s + now - received_at
            for age_s, received_at in self._peer_platform_age_by_id.values()
            if age_s >= 0
        ]
        smallest_age_s = min(ages_s, default=float("inf"))
        bound_s = self._env.settings.confirm_bound_s
        if smallest_age_s <= bound_s:
            self.log.confirm(self.log.number, now - smallest_age_s)
        elif now - self._head_read_at > bound_s and self._members.has_live_majority(
            now
        ):
            self.log.confirm(self.log.number, now)

    async def process_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Process a peer's heartbeat; fetch its settings if they are newer."""
        if heartbeat.revision > self.log.number:
            await self._fetch_from_peer(sender)
        if heartbeat.revision <= self.log.number:
            received_at = self._env.clock.now()
            self._peer_platform_age_by_id[sender] = (
                heartbeat.platform_age_s,
                received_at,
            )

    def answer_settings_request(self, request: SettingsRequest) -> SettingsReply:
        """Answer a peer with the local settings, if they are newer than its own."""
        if request.newer_than >= self.log.number:
            return SettingsReply(self.log.number, "")
        return SettingsReply(self.log.number, json.dumps(self.log.document))

    async def accept(self, change: Change) -> Revision:
        """Accept a change and return its revision.

        :raises SettingsError: the patched settings are not valid.
        :raises SettingsConflictError: another change was accepted first.
        :raises PlatformUnavailableError: the change was not accepted.
        :raises WriteOutcomeUnknownError: the change may have been accepted; query it
            by its id.
        """
        if not self._members.has_live_majority(self._env.clock.now()):
            raise PlatformUnavailableError(
                "this instance receives no heartbeats from a majority of the instances"
            )
        await self._read_platform()
        self._check_no_newer_member()
        earlier_revision = await self._find_revision(change.id)
        if earlier_revision is not None:
            return earlier_revision
        if change.base != self.log.number:
            raise await self._make_conflict_error(change, self.log.number)
        document, _ = self.log.preview(change.patch, f'change "{change.id}"')
        era = self._restore_monitor.era
        number = next_number(change.base, era)
        is_first_of_era = number != change.base + 1
        revision = Revision(
            number,
            change.id,
            change.author,
            change.patch,
            self._env.clock.wall_ms(),
            document if is_first_of_era else None,
        )
        await self._insert_verified(revision, change)
        self._is_snapshot_due |= number % REVISIONS_PER_SNAPSHOT == 0
        if self._restore_monitor.era != era:
            raise WriteOutcomeUnknownError(
                f'the platform was restored while change "{change.id}" was written; '
                f"query the change by its id"
            )
        await self._read_platform()
        await self._write_snapshot()
        return revision

    def _check_no_newer_member(self) -> None:
        """Check that no instance has a revision that the platform no longer shows.

        :raises PlatformUnavailableError: one has, and its settings are fetched first.
        """
        members = self._members.live(self._env.clock.now())
        if any(member.revision > self.log.number for member in members):
            raise PlatformUnavailableError(
                "another instance has newer settings, which are being fetched"
            )

    async def history(self, after: int) -> list[Revision]:
        """Return the accepted revisions with numbers above ``after``."""
        found: list[Revision] = []
        while True:
            last = found[-1].number if found else after
            rows = await self._env.platform.scan(TABLE, _row_key(last))
            if not rows:
                return found
            found += [_decode_revision(row) for row in rows]

    async def get_change(self, change_id: str) -> Revision:
        """Return the revision of an accepted change.

        :raises NotFoundError: the change was not accepted.
        """
        await self._read_platform()
        found = await self._find_revision(change_id)
        if found is None:
            raise NotFoundError(
                f'change "{change_id}" was not accepted within the last '
                f"{CHANGE_SEARCH_REVISIONS} revisions"
            )
        return found

    async def _find_revision(self, change_id: str) -> Revision | None:
        after = self.log.number - CHANGE_SEARCH_REVISIONS
        if self.log.number % NUMBERS_PER_ERA < CHANGE_SEARCH_REVISIONS:
            after = 0  # the last ones before a restore have far lower numbers
        for revision in await self.history(after):
            if revision.change == change_id:
                return revision
        return None

    async def _make_conflict_error(
        self, change: Change, head: int
    ) -> SettingsConflictError:
        newer_revisions = await self.history(min(change.base, head))
        descriptions = ", ".join(
            f'revision {revision.number} "{revision.change}" by {revision.author}'
            for revision in newer_revisions
        )
        return SettingsConflictError(
            f'change "{change.id}" is based on revision {change.base}, '
            f"but revision {head} is in force: {descriptions}"
        )

    async def _insert_verified(self, revision: Revision, change: Change) -> None:
        """Insert a revision and verify that it is the one stored under its number."""
        try:
            await self._insert(revision)
            return
        except PreconditionFailedError:
            pass
        except WriteOutcomeUnknownError:
            await self._fence(revision.number)
        row = await self._read_row(revision.number)
        if row.value["change"] == change.id:
            return
        if row.value["author"] == FENCE_AUTHOR:
            raise PlatformUnavailableError(f'change "{change.id}" was not accepted')
        await self._read_platform()
        raise await self._make_conflict_error(change, self.log.number)

    async def _fence(self, number: int) -> None:
        """Occupy a revision number whose insert has an unknown outcome.

        A missing row proves nothing, since the write may still arrive. Inserting
        an empty revision ensures that only one of the two takes effect.
        """
        fence = Revision(
            number,
            f"fence-{number}-{self._env.incarnation}",
            FENCE_AUTHOR,
            {},
            self._env.clock.wall_ms(),
        )
        for _ in range(MAX_FENCE_ATTEMPTS):
            try:
                await self._insert(fence)
                return
            except PreconditionFailedError:
                return
            except (PlatformUnavailableError, WriteOutcomeUnknownError):
                await trio.sleep(self._env.random.uniform(0.1, 0.5))
        raise WriteOutcomeUnknownError(
            f"revision {number} may have been accepted; query the change by its id"
        )

    async def _read_row(self, number: int) -> Row:
        row = await self._env.platform.get(TABLE, _row_key(number))
        if row is None:
            raise WriteOutcomeUnknownError(f"revision {number} can't be read back")
        return row

    async def _insert(self, revision: Revision) -> None:
        value = dataclasses.asdict(revision)
        await self._env.platform.put(
            TABLE, _row_key(revision.number), value, expected_version=0
        )

    async def _read_platform(self) -> None:
        if self.log.number == 0:
            await self._read_snapshot()
        while True:
            rows = await self._env.platform.scan(TABLE, _row_key(self.log.number))
            previous_number = self.log.number
            for row in rows:
                self.log.apply(_decode_revision(row))
            if not rows:
                return
            if self.log.number == previous_number:
                # The missing ones come from a peer, or with a later document.
                logger.warning(
                    "settings: revisions are missing",
                    extra={"after": previous_number, "next": rows[0].key},
                )
                return

    async def _read_snapshot(self) -> None:
        row = await self._env.platform.get(SNAPSHOT_TABLE, SNAPSHOT_KEY)
        if row is None:
            return
        try:
            with reading("snapshot", SettingsError):
                number = read_int(row.value["number"])
                self.log.adopt(number, row.value["document"])
        except SettingsError as error:
            # It only saves reading all revisions.
            logger.warning("settings: snapshot ignored", extra={"why": error.message})

    async def _write_snapshot(self) -> None:
        """Write a snapshot if one is due.

        A starting instance reads it in place of the revisions before it, so a failed
        write only makes starts slower and is ignored.
        """
        if not self._is_snapshot_due:
            return
        try:
            row = await self._env.platform.get(SNAPSHOT_TABLE, SNAPSHOT_KEY)
            number = row.value.get("number") if row is not None else None
            if not isinstance(number, int) or number < self.log.number:
                value = {"number": self.log.number, "document": self.log.document}
                expected = row.version if row else 0
                await self._env.platform.put(
                    SNAPSHOT_TABLE, SNAPSHOT_KEY, value, expected
                )
            self._is_snapshot_due = False
        except FoxtailsaddleError:
            logger.info("settings: snapshot not written")

    async def _fetch_from_peer(self, sender: str) -> None:
        member = self._members.get(sender)
        if member is None:
            return
        reply = await self._env.links.ask(
            member, SettingsRequest(self.log.number), PEER_FETCH_TIMEOUT_S
        )
        if isinstance(reply, SettingsReply) and reply.document:
            with reading("settings of a peer", SettingsError):
                self.log.adopt(reply.revision, read_json(reply.document))
            logger.info("settings: adopted from peer", extra={"from": sender})


def _row_key(number: int) -> str:
    return f"{number:0{ROW_KEY_DIGITS}d}"


def _decode_revision(row: Row) -> Revision:
    """Decode a row of the table of revisions.

    :raises SettingsError: the row is no revision.
    """
    with reading(f'revision "{row.key}"', SettingsError):
        fields = row.value
        return Revision(
            number=read_int(fields["number"]),
            change=read_text(fields["change"], MAX_CHANGE_ID_BYTES),
            author=read_text(fields["author"], MAX_CHANGE_ID_BYTES),
            patch=dict(fields["patch"]),
            at_ms=read_int(fields["at_ms"]),
            document=fields.get("document"),
        )
