"""Follows one table of the store by its feed."""

import logging
import typing as t

import trio

from ..errors import FoxtailsaddleError, HistoryGoneError
from ..ports import Store, StoredRows

logger = logging.getLogger("foxtailsaddle.store")

FEED_WAIT_S = 2.0
RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 1.0
RETRY_GROWTH = 1.5
ROLE_CHECK_S = 0.1


class TableFollower:
    """Reads a table, then follows its feed; reads anew when changes were missed.

    :param pause_s: shortest time between two calls, since each call is priced.
    :param may_rest: whether other instances follow the store for this one.
    :param retry_s: turns a pause after a failure into this instance's own.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        pause_s: float,
        take: t.Callable[[StoredRows, bool], None],
        may_rest: t.Callable[[], bool],
        retry_s: t.Callable[[float], float],
        note_back: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._table = table
        self._pause_s = pause_s
        self._take = take
        self._may_rest = may_rest
        self._retry_s = retry_s
        self._note_back = note_back
        self._failure_pause_s = RETRY_PAUSE_S
        self._catch_up = False
        self.is_away = True
        self.version: int | None = None

    def read_once(self) -> None:
        """Ask the store once although others follow it: a change was missed."""
        self._catch_up = True

    def read_anew(self) -> None:
        """Read the whole table at the next call."""
        self.version = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            rests = self.version is not None and self._may_rest()
            if rests and not self._catch_up:
                await trio.sleep(ROLE_CHECK_S)
                continue
            self._catch_up = False
            try:
                await self._step(0.0 if rests else FEED_WAIT_S)
            except HistoryGoneError as error:
                logger.info(
                    "store: reads anew",
                    extra={"table": self._table, "why": error.message},
                )
                self.version = None
            except FoxtailsaddleError as error:
                await self._lost(error)

    async def _step(self, wait_s: float) -> None:
        whole = self.version is None
        if whole:
            rows = await self._store.read(self._table)
        else:
            rows = await self._store.changes(self._table, self.version, wait_s)
        self._regained()
        self.version = rows.version
        self._take(rows, whole)
        await trio.sleep(self._pause_s if rows.rows else 0)

    def _regained(self) -> None:
        self._failure_pause_s = RETRY_PAUSE_S
        if self.is_away:
            self.is_away = False
            self._note_back()
            logger.info("store: reached", extra={"table": self._table})

    async def _lost(self, error: FoxtailsaddleError) -> None:
        if not self.is_away:
            logger.warning(
                "store: lost", extra={"table": self._table, "why": error.message}
            )
        self.is_away = True
        await trio.sleep(self._retry_s(self._failure_pause_s))
        self._failure_pause_s = min(
            MAX_RETRY_PAUSE_S, self._failure_pause_s * RETRY_GROWTH
        )
