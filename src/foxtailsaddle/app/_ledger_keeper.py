"""Carries ledger entries to and from the platform's table."""

import dataclasses
import logging

import trio

from ..core import Entry, EntryState, Finding, find
from ..errors import (
    FoxtailsaddleError,
    InProgressError,
    KeyReusedError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    PreconditionFailedError,
    WriteOutcomeUnknownError,
)
from ..ports import Row
from ..verdicts import Verdict
from ._environment import Environment

logger = logging.getLogger("foxtailsaddle.ledger")

TABLE = "ledger"
CLAIM_TRIES = 6
PAUSE_S = 0.2
MAX_PAUSE_S = 5.0
IN_PROGRESS_RETRY_S = 1.0
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right to send a call once, or the stored answer of an earlier one.

    :param version: of the row, for the closing write.
    """

    entry: Entry
    version: int

    @property
    def is_repeat(self) -> bool:
        """Whether the call has run before and its answer is stored."""
        return self.entry.state is EntryState.DONE


def row_key(account: str, service: str, key: str) -> str:
    """Return the key of a ledger row; scoped to the client account."""
    return f"{account}/{service}/{key}"


class LedgerKeeper:
    """Writes claims before dispatch and outcomes after it.

    :param background: finishes closing writes while the platform is down.
    """

    def __init__(self, env: Environment, background: trio.Nursery) -> None:
        self._env = env
        self._background = background
        self.closing = 0

    async def claim(self, entry: Entry) -> Claim:
        """Insert a DISPATCHED entry, or learn what came of an earlier call.

        :raises KeyReusedError: the key was used with another body.
        :raises InProgressError: an earlier call under the key is running.
        :raises OutcomeUnknownError: an earlier call's outcome was lost.
        :raises PlatformUnavailableError: not claimed; the call was not sent.
        """
        try:
            return await self._claim(entry)
        except trio.Cancelled:
            # The insert may be on its way, and nobody will use it.
            self._settle_later(entry, expected=0)
            raise

    async def _claim(self, entry: Entry) -> Claim:
        expected = 0
        for _ in range(CLAIM_TRIES):
            try:
                row = await self._put(entry, expected)
                return Claim(entry, row.version)
            except PreconditionFailedError:
                row = await self._row(entry)
            except WriteOutcomeUnknownError:
                row = await self._fence(entry, expected)
            found = Entry.from_row(row.value)
            if found.token == entry.token and found.state is EntryState.DISPATCHED:
                return Claim(entry, row.version)
            claim = self._judge(entry, found, row)
            if claim is not None:
                return claim
            expected = row.version
        raise PlatformUnavailableError(
            f'idempotency key "{entry.key}" can\'t be claimed now',
            retry_after_s=IN_PROGRESS_RETRY_S,
        )

    async def close(self, claim: Claim, closed: Entry, wait_s: float) -> None:
        """Write the outcome; goes on in the background after ``wait_s``."""
        done = trio.Event()
        self.closing += 1
        self._background.start_soon(self._close, claim, closed, done)
        with trio.move_on_after(wait_s):
            await done.wait()

    async def show(self, account: str, service: str, key: str) -> Entry:
        """Return the entry of a key: who touched the record, when, what came.

        :raises NotFoundError: no call was made under the key.
        """
        row = await self._env.platform.get(TABLE, row_key(account, service, key))
        if row is None:
            raise NotFoundError(f'idempotency key "{key}" does not exist')
        return Entry.from_row(row.value)

    def _judge(self, entry: Entry, found: Entry, row: Row) -> Claim | None:
        """Return a repeat's claim, ``None`` when free, or raise the answer."""
        finding = find(found, entry.digest, self._env.clock.wall_ms())
        if finding is Finding.FREE:
            return None
        if finding is Finding.FINISHED:
            return Claim(found, row.version)
        if finding is Finding.OTHER_BODY:
            raise KeyReusedError(
                f'idempotency key "{entry.key}" was used with another body'
            )
        if finding is Finding.IN_PROGRESS:
            raise InProgressError(
                f'a call with idempotency key "{entry.key}" is running',
                retry_after_s=IN_PROGRESS_RETRY_S,
                verdict=Verdict.MAY_HAVE_RUN,
            )
        raise OutcomeUnknownError(
            f'the outcome of idempotency key "{entry.key}" was lost; '
            f"it is not sent again",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _fence(self, entry: Entry, expected: int) -> Row:
        """Settle a write whose answer was lost.

        Reading the row back absent would prove nothing, since the write may
        still be on its way. A NOT_RUN entry in its place proves that it lost.
        """
        fence = dataclasses.replace(entry, state=EntryState.NOT_RUN)
        pause_s = PAUSE_S
        for _ in range(CLAIM_TRIES):
            try:
                return await self._put(fence, expected)
            except PreconditionFailedError:
                return await self._row(entry)
            except (WriteOutcomeUnknownError, PlatformUnavailableError):
                await trio.sleep(pause_s)
        self._settle_later(entry, expected)
        raise PlatformUnavailableError(
            f'idempotency key "{entry.key}" can\'t be claimed: the platform is down',
            retry_after_s=IN_PROGRESS_RETRY_S,
        )

    def _settle_later(self, entry: Entry, expected: int) -> None:
        """Free a claim that may have been written and will not be used."""
        closed = dataclasses.replace(entry, state=EntryState.NOT_RUN)
        self.closing += 1
        claim = Claim(entry, expected)
        self._background.start_soon(self._close, claim, closed, trio.Event())

    async def _close(self, claim: Claim, closed: Entry, done: trio.Event) -> None:
        """Write the closing entry, however long the platform is down."""
        version: int | None = claim.version
        pause_s = PAUSE_S
        try:
            while True:
                try:
                    version = await self._try_close(claim, closed, version)
                except FoxtailsaddleError:
                    logger.info("ledger: outcome not written yet")
                if version is None:
                    return
                await trio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
        finally:
            self.closing -= 1
            done.set()

    async def _try_close(self, claim: Claim, closed: Entry, version: int) -> int | None:
        """Return ``None`` when the row is closed, else the version to replace."""
        try:
            await self._put(closed, version)
            return None
        except PreconditionFailedError:
            row = await self._row_or_none(closed)
        if row is None or not self._is_open(row, claim.entry):
            return None
        return row.version

    def _is_open(self, row: Row, entry: Entry) -> bool:
        found = Entry.from_row(row.value)
        return found.token == entry.token and found.state is EntryState.DISPATCHED

    async def _put(self, entry: Entry, expected: int) -> Row:
        key = row_key(entry.account, entry.service, entry.key)
        written = dataclasses.replace(entry, written_ms=self._env.clock.wall_ms())
        return await self._env.platform.put(TABLE, key, written.to_row(), expected)

    async def _row(self, entry: Entry) -> Row:
        row = await self._row_or_none(entry)
        if row is None:
            raise PlatformUnavailableError(
                f'idempotency key "{entry.key}" can\'t be read back'
            )
        return row

    async def _row_or_none(self, entry: Entry) -> Row | None:
        key = row_key(entry.account, entry.service, entry.key)
        return await self._env.platform.get(TABLE, key)
