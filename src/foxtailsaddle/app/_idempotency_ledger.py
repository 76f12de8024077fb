"""Reads and writes the idempotency ledger in the platform's table."""

import dataclasses
import logging

import trio

from .._input_readers import read_int, read_optional, reading
from .._tasks import log_unexpected
from ..core import Entry, EntryAssessment, EntryState, assess_entry
from ..errors import (
    CallInProgressError,
    FoxtailsaddleError,
    IdempotencyKeyReusedError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    PreconditionFailedError,
    UnreadableInputError,
    WriteOutcomeUnknownError,
)
from ..ports import Row
from ..verdicts import Verdict
from ._environment import Environment
from ._restore_monitor import RestoreMonitor

logger = logging.getLogger("foxtailsaddle.ledger")

TABLE = "ledger"
MAX_CLAIM_ATTEMPTS = 6
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 5.0
IN_PROGRESS_RETRY_AFTER_S = 1.0
REWRITE_WINDOW_S = 5.0  # all instances notice a restore and write within it
RECENT_MS = 60_000  # older entries are in every backup


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right to send a call once, or the stored answer of its earlier run.

    :param version: version of the ledger row that the closing write replaces.
    """

    entry: Entry
    version: int

    @property
    def is_repeat(self) -> bool:
        """Whether the call ran earlier and its answer is stored."""
        return self.entry.state is EntryState.DONE


def row_key(account: str, service: str, key: str) -> str:
    """Return the key of a ledger row, scoped to the client account."""
    return f"{account}/{service}/{key}"


class IdempotencyLedger:
    """Writes a claim before a call is sent, and its outcome afterwards.

    :param background: runs closing writes until the platform accepts them.
    After a restore of the platform, instances write their recent entries again, and
    no key is claimed meanwhile.

    :ivar pending_writes: number of closing writes that are not finished.
    """

    def __init__(
        self,
        env: Environment,
        background: trio.Nursery,
        restore_monitor: RestoreMonitor,
    ) -> None:
        self._env = env
        self._background = background
        self._restore_monitor = restore_monitor
        self._recent_by_key: dict[str, Entry] = {}
        self.pending_writes = 0
        restore_monitor.on_restore.append(self._rewrite_in_background)

    async def claim(self, entry: Entry) -> Claim:
        """Insert a DISPATCHED entry, or return the result of an earlier call.

        :raises IdempotencyKeyReusedError: the key was used with another body.
        :raises CallInProgressError: an earlier call with the key is running.
        :raises OutcomeUnknownError: the outcome of an earlier call was lost.
        :raises PlatformUnavailableError: the key could not be claimed.
        """
        self._check_not_restoring()
        try:
            claim = await self._claim(entry)
        except trio.Cancelled:
            # The insert may still reach the platform, but the claim will not be used.
            self._release_in_background(entry, expected_version=0)
            raise
        try:
            self._check_not_restoring()
        except PlatformUnavailableError:
            # The entry of an earlier call may not be written again yet.
            if not claim.is_repeat:
                self._release_in_background(entry, claim.version)
            raise
        return claim

    def _check_not_restoring(self) -> None:
        """Check that no recent entry can be missing because of a restore.

        :raises PlatformUnavailableError: the platform was restored just now.
        """
        remaining_s = REWRITE_WINDOW_S - self._restore_monitor.elapsed_s()
        if remaining_s > 0:
            raise PlatformUnavailableError(
                "the platform was restored from a backup; earlier calls are recorded "
                "again before new ones are accepted",
                retry_after_s=remaining_s,
            )

    async def _claim(self, entry: Entry) -> Claim:
        expected_version = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                row = await self._put(entry, expected_version)
                return Claim(entry, row.version)
            except PreconditionFailedError:
                row = await self._read_row(entry)
            except WriteOutcomeUnknownError:
                row = await self._fence(entry, expected_version)
            found = _read_entry(row)
            if found.token == entry.token and found.state is EntryState.DISPATCHED:
                return Claim(entry, row.version)
            claim = self._resolve_existing(entry, found, row)
            if claim is not None:
                return claim
            expected_version = row.version
        raise PlatformUnavailableError(
            f'idempotency key "{entry.key}" can\'t be claimed at present',
            retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
        )

    async def close(self, claim: Claim, closed: Entry, wait_s: float) -> None:
        """Write the outcome; continue in the background after ``wait_s`` seconds."""
        done = trio.Event()
        self.pending_writes += 1
        self._background.start_soon(log_unexpected, self._close, claim, closed, done)
        with trio.move_on_after(wait_s):
            await done.wait()

    async def get(self, account: str, service: str, key: str) -> Entry:
        """Return the ledger entry of a key.

        :raises NotFoundError: no call was made with the key.
        """
        return (await self.get_claim(account, service, key)).entry

    async def get_claim(self, account: str, service: str, key: str) -> Claim:
        """Return the claim of an earlier call, to close it on behalf of its writer.

        :raises NotFoundError: no call was made with the key.
        """
        row = await self._env.platform.get(TABLE, row_key(account, service, key))
        if row is None:
            raise NotFoundError(f'idempotency key "{key}" does not exist')
        return Claim(_read_entry(row), row.version)

    def _resolve_existing(self, entry: Entry, found: Entry, row: Row) -> Claim | None:
        """Decide what an existing row means for a new call.

        :returns: the claim with the stored answer, or ``None`` if the key is free.
        :raises FoxtailsaddleError: the key is in use or its outcome is lost.
        """
        assessment = assess_entry(found, entry.digest, self._env.clock.wall_ms())
        if assessment is EntryAssessment.FREE:
            return None
        if assessment is EntryAssessment.FINISHED:
            return Claim(found, row.version)
        if assessment is EntryAssessment.OTHER_BODY:
            raise IdempotencyKeyReusedError(
                f'idempotency key "{entry.key}" was used with another body'
            )
        if assessment is EntryAssessment.IN_PROGRESS:
            raise CallInProgressError(
                f'a call with idempotency key "{entry.key}" is running',
                retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
                verdict=Verdict.MAY_HAVE_RUN,
            )
        raise OutcomeUnknownError(
            f'the outcome of idempotency key "{entry.key}" was lost; '
            f"it is not sent again",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _fence(self, entry: Entry, expected_version: int) -> Row:
        """Determine the result of a write whose response was lost.

        A missing row proves nothing, since the write may still arrive. Writing
        a NOT_RUN entry under the same expected version ensures that only one of
        the two writes takes effect.
        """
        fence = dataclasses.replace(entry, state=EntryState.NOT_RUN)
        pause_s = RETRY_PAUSE_S
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                return await self._put(fence, expected_version)
            except PreconditionFailedError:
                return await self._read_row(entry)
            except (WriteOutcomeUnknownError, PlatformUnavailableError):
                await trio.sleep(pause_s)
        self._release_in_background(entry, expected_version)
        raise PlatformUnavailableError(
            f'idempotency key "{entry.key}" can\'t be claimed: the platform is down',
            retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
        )

    def _release_in_background(self, entry: Entry, expected_version: int) -> None:
        """Release, in the background, a claim that may have been written."""
        closed = dataclasses.replace(entry, state=EntryState.NOT_RUN)
        self.pending_writes += 1
        claim = Claim(entry, expected_version)
        self._background.start_soon(
            log_unexpected, self._close, claim, closed, trio.Event()
        )

    async def _close(self, claim: Claim, closed: Entry, done: trio.Event) -> None:
        """Write the closing entry, retrying until the platform accepts it."""
        version: int | None = claim.version
        pause_s = RETRY_PAUSE_S
        try:
            while True:
                try:
                    version = await self._try_close(claim, closed, version)
                except FoxtailsaddleError:
                    logger.info("ledger: outcome not written yet")
                if version is None:
                    return
                await trio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
        finally:
            self.pending_writes -= 1
            done.set()

    async def _try_close(self, claim: Claim, closed: Entry, version: int) -> int | None:
        """Return ``None`` if the row is closed, else the version to replace."""
        try:
            await self._put(closed, version)
            return None
        except PreconditionFailedError:
            row = await self._read_row_or_none(closed)
        if row is None:
            return 0  # lost by a restore of the platform
        return row.version if self._is_claim_open(row, claim.entry) else None

    def _is_claim_open(self, row: Row, entry: Entry) -> bool:
        found = read_optional(_read_entry, row)
        if found is None:
            return False  # another program has replaced it
        is_open = found.state in (EntryState.DISPATCHED, EntryState.UNKNOWN)
        return found.token == entry.token and is_open

    async def _put(self, entry: Entry, expected_version: int) -> Row:
        key = row_key(entry.account, entry.service, entry.key)
        written = dataclasses.replace(entry, written_ms=self._env.clock.wall_ms())
        row = await self._env.platform.put(
            TABLE, key, written.to_row(), expected_version
        )
        self._remember(key, written)
        return row

    def _remember(self, key: str, entry: Entry) -> None:
        """Keep an entry for as long as a restore may lose it."""
        self._recent_by_key.pop(key, None)
        self._recent_by_key[key] = entry
        oldest_ms = entry.written_ms - RECENT_MS
        for old_key, old in list(self._recent_by_key.items()):
            if old.written_ms >= oldest_ms:
                break
            del self._recent_by_key[old_key]

    def _rewrite_in_background(self) -> None:
        for key, entry in list(self._recent_by_key.items()):
            self._background.start_soon(log_unexpected, self._rewrite, key, entry)

    async def _rewrite(self, key: str, entry: Entry) -> None:
        """Write an entry again if the platform has lost it."""
        while True:
            entry = self._recent_by_key.get(key, entry)
            try:
                await self._env.platform.put(TABLE, key, entry.to_row(), 0)
                logger.info("ledger: lost entry written again", extra={"key": key})
                return
            except PreconditionFailedError:
                return
            except FoxtailsaddleError as error:
                logger.info("ledger: not rewritten yet", extra={"why": error.message})
                await trio.sleep(RETRY_PAUSE_S)

    async def _read_row(self, entry: Entry) -> Row:
        row = await self._read_row_or_none(entry)
        if row is None:
            raise PlatformUnavailableError(
                f'idempotency key "{entry.key}" can\'t be read back'
            )
        return row

    async def _read_row_or_none(self, entry: Entry) -> Row | None:
        key = row_key(entry.account, entry.service, entry.key)
        return await self._env.platform.get(TABLE, key)


def _read_entry(row: Row) -> Entry:
    """Decode a row of the ledger.

    :raises OutcomeUnknownError: it is no entry, so that nothing is known of the call.
    """
    try:
        with reading(f'ledger entry "{row.key}"'):
            entry = Entry.from_row(row.value)
            read_int(entry.deadline_ms)
            read_int(entry.written_ms)
            return entry
    except UnreadableInputError as error:
        raise OutcomeUnknownError(
            error.message, verdict=Verdict.MAY_HAVE_RUN
        ) from error
