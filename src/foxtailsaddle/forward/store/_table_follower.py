"""Follows one table of the store through its change feed."""

import logging
import typing as t

import trio

from ...core import StoreVersion
from ...errors import FoxtailsaddleError, HistoryGoneError, PlatformUnavailableError
from ...ports import Store, StoredRows

logger = logging.getLogger("foxtailsaddle.store")

RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 1.0
RETRY_GROWTH = 1.5
ROLE_CHECK_S = 0.1


class TableFollower:
    """Reads a table, then follows its changes; reads it again if some were missed.

    :param feed_wait_s: longest time that the store holds back an answer without
        changes, in seconds; a connection that has gone silent is noticed after it.
    :param pause_s: shortest time between two calls, in seconds; each call is charged.
    :param on_rows: called with rows, and whether they are the whole table.
    :param accept_version: called with the version of each answer; returns false for a
        late answer from an era before the store's present one.
    :param others_read_store: returns whether enough other instances read the store, so
        that this one need not.
    :param retry_pause_s: returns the pause after a failure, scaled by this instance's
        rank among the instances.
    :param on_connected: called when the store is reached for the first time or again.
    :ivar is_disconnected: the last call to the store failed, or none was made yet.
    :ivar version: version of the rows so far; ``None`` before the whole table is read.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        feed_wait_s: float,
        pause_s: float,
        on_rows: t.Callable[[StoredRows, bool], None],
        accept_version: t.Callable[[StoreVersion], bool],
        others_read_store: t.Callable[[], bool],
        retry_pause_s: t.Callable[[float], float],
        on_connected: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._table = table
        self._feed_wait_s = feed_wait_s
        self._pause_s = pause_s
        self._on_rows = on_rows
        self._accept_version = accept_version
        self._others_read_store = others_read_store
        self._retry_pause_s = retry_pause_s
        self._on_connected = on_connected
        self._failure_pause_s = RETRY_PAUSE_S
        self._is_read_requested = False
        self.is_disconnected = True
        self.version: StoreVersion | None = None

    def request_read(self) -> None:
        """Request the changes once, although other instances read the store.

        Used when an update from the others was missed.
        """
        self._is_read_requested = True

    def request_full_read(self) -> None:
        """Make the next call read the whole table."""
        self.version = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            is_standby = self.version is not None and self._others_read_store()
            if is_standby and not self._is_read_requested:
                await trio.sleep(ROLE_CHECK_S)
                continue
            self._is_read_requested = False
            try:
                await self._read_next(0.0 if is_standby else self._feed_wait_s)
            except HistoryGoneError as error:
                logger.info(
                    "store: reads anew",
                    extra={"table": self._table, "why": error.message},
                )
                self.version = None
            except FoxtailsaddleError as error:
                await self._handle_failure(error)
            except Exception:
                # It must not end the other follower.
                logger.exception("store: rows not applied")
                await trio.sleep(self._retry_pause_s(MAX_RETRY_PAUSE_S))

    async def _read_next(self, wait_s: float) -> None:
        is_full = self.version is None
        if is_full:
            rows = await self._store.read(self._table)
        else:
            rows = await self._store.changes(self._table, self.version, wait_s)
        if not self._accept_version(rows.version):
            raise PlatformUnavailableError(
                f'a late answer about table "{self._table}", from before the store '
                f"was restored"
            )
        self._handle_success()
        if self.version is None and not is_full:
            return  # a full read was requested meanwhile
        # Rows that could not be applied are read again.
        self._on_rows(rows, is_full)
        self.version = rows.version
        await trio.sleep(self._pause_s if rows.rows else 0)

    def _handle_success(self) -> None:
        self._failure_pause_s = RETRY_PAUSE_S
        if self.is_disconnected:
            self.is_disconnected = False
            self._on_connected()
            logger.info("store: reached", extra={"table": self._table})

    async def _handle_failure(self, error: FoxtailsaddleError) -> None:
        if not self.is_disconnected:
            logger.warning(
                "store: lost", extra={"table": self._table, "why": error.message}
            )
        self.is_disconnected = True
        await trio.sleep(self._retry_pause_s(self._failure_pause_s))
        self._failure_pause_s = min(
            MAX_RETRY_PAUSE_S, self._failure_pause_s * RETRY_GROWTH
        )
