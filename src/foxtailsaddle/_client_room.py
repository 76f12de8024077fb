"""Room for the connections of clients and for their bytes, within a budget."""

import logging
import math
import typing as t

import trio

from .core import (
    SMALL_BYTES,
    ClientBudget,
    ConnectionStage,
    EndableConnection,
    Holding,
)
from .errors import NotReadyError, TooManyConnectionsError

logger = logging.getLogger("foxtailsaddle.clients")

PROGRAM_BYTES = 96_000_000  # what a process needs beside its clients
COPIES = 2  # of a client's byte, at worst
MIN_CLIENT_BYTES = 8_000_000  # a body of the largest usual limit fits in
RECEIVE_BUFFER_BYTES = 65_536  # of the system, for each connection of a client
MAX_PAUSE_S = 0.8  # clients give up a request that is not read for a second
PAUSED_SHARE = 0.25  # of the room, for bytes that wait unread
LOOK_AGAIN_S = 0.05
RETRY_AFTER_S = 1.0
LOG_INTERVAL_S = 1.0


def client_bytes(memory_bytes: int) -> int:
    """Return how many bytes of clients fit into the memory of a process."""
    return max(MIN_CLIENT_BYTES, (memory_bytes - PROGRAM_BYTES) // COPIES)


class ClientRoom:
    """Admits connections and bytes of clients, and makes room for them.

    :param max_bytes: bytes that may be held.
    :param max_connections: connections that may be open.
    :ivar count_by_cause: connections and requests that were refused or ended.
    """

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        self.budget = ClientBudget(max_bytes, max_connections)
        self._max_paused = max(1, int(max_bytes * PAUSED_SHARE) // RECEIVE_BUFFER_BYTES)
        self._paused = 0
        self._turn_by_is_small = {True: trio.Lock(), False: trio.Lock()}
        self._parsing = trio.Lock()
        self.count_by_cause: dict[str, int] = {}
        self._logged_at_by_cause: dict[str, float] = {}
        self._refuses_until = -math.inf

    async def wait_for_connection(self) -> None:
        """Wait a little if there is no room for another connection.

        If that is in vain, those that follow are refused at once for as long.
        """
        ends_at = trio.current_time() + MAX_PAUSE_S
        while not self._has_connection_room():
            if trio.current_time() < self._refuses_until:
                return
            if trio.current_time() >= ends_at:
                self._refuses_until = ends_at + MAX_PAUSE_S
                return
            await trio.sleep(LOOK_AGAIN_S)

    def open(self, connection: EndableConnection) -> Holding:
        """Record a new connection; one that gets no further is closed for it.

        :raises TooManyConnectionsError: all the others get on.
        """
        now = trio.current_time()
        if self.budget.is_full:
            expendable = self.budget.find_expendable(now)
            if expendable is None:
                self._record("connection_refused")
                raise TooManyConnectionsError("too many connections are open")
            self._record("connection_closed")
            self.budget.close(expendable)
            expendable.connection.close_now()
        return self.budget.open(connection, now)

    def close(self, holding: Holding) -> None:
        """Give back all that a connection takes."""
        self.budget.close(holding)

    def enter(self, holding: Holding, stage: ConnectionStage) -> None:
        """Record that a connection has entered another stage, or has got on."""
        self.budget.enter(holding, stage, trio.current_time())

    def try_take(self, holding: Holding, size: int) -> bool:
        """Take room for more bytes; return false if there is none."""
        return self.budget.claim(holding, size, trio.current_time())

    async def take(self, holding: Holding, size: int) -> None:
        """Take room for more bytes; wait a little, and make room, if there is none.

        :raises NotReadyError: there is none.
        """
        if self.try_take(holding, size):
            return
        if self._paused < self._max_paused and await self._pause(holding, size):
            return
        self._record("no_room")
        raise NotReadyError(
            "this instance has no memory for the request at present",
            retry_after_s=RETRY_AFTER_S,
        )

    def gauges(self) -> dict[str, int]:
        """Return what is held, by gauge."""
        count_by_stage = {stage: self.budget.count(stage) for stage in ConnectionStage}
        return {
            "connections": sum(count_by_stage.values()),
            "client_bytes": self.budget.held_bytes,
            **{f"connections_{s.value}": n for s, n in count_by_stage.items()},
            **{f"clients_{cause}": n for cause, n in self.count_by_cause.items()},
        }

    async def next_parsing_turn(self) -> None:
        """Let all others run; of those with many small pieces to parse, one goes on."""
        async with self._parsing:
            await trio.lowlevel.checkpoint()

    async def _pause(self, holding: Holding, size: int) -> bool:
        """Read nothing of a client until there is room; return whether there is."""
        is_small = holding.size + size <= SMALL_BYTES
        self._paused += 1
        holding.is_paused = True
        try:
            with trio.move_on_after(MAX_PAUSE_S):
                async with self._turn_by_is_small[is_small]:
                    while not self._make_room(holding, size):
                        await trio.sleep(LOOK_AGAIN_S)
                return True
            return False
        finally:
            holding.is_paused = False
            self._paused -= 1

    def _make_room(self, holding: Holding, size: int) -> bool:
        """Take room, at the cost of clients that have halted; return false without."""
        while not self.try_take(holding, size):
            now = trio.current_time()
            if (halted := self.budget.find_halted(now)) is not None:
                self._record("halted")
                self.budget.resize(halted, 0)
                self.enter(halted, ConnectionStage.CLOSING)
                halted.connection.refuse_rest()
            elif (unread := self.budget.find_unread(now)) is not None:
                self._record("unread")
                self.budget.close(unread)
                unread.connection.close_now()
            else:
                return False
        return True

    def _has_connection_room(self) -> bool:
        if not self.budget.is_full:
            return True
        return self.budget.find_expendable(trio.current_time()) is not None

    def _record(self, cause: str) -> None:
        """Count a refusal, and log one of its cause in a second."""
        count = self.count_by_cause[cause] = self.count_by_cause.get(cause, 0) + 1
        now = trio.current_time()
        if now - self._logged_at_by_cause.get(cause, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at_by_cause[cause] = now
        extra: dict[str, t.Any] = {"cause": cause, "count": count}
        extra["held_bytes"] = self.budget.held_bytes
        logger.warning("clients: refused or ended", extra=extra)
