"""What the connections of clients take of a process: bytes, and connections.

Load pattern: many clients send large bodies and halt short of the end, send requests
ahead of their answers, or only connect. What they hold is missing to other clients for
as long as they like. Room is made by ending those that get no further: connections
without a request first, and of the bodies the largest.
"""

import dataclasses
import typing as t
from enum import Enum

SMALL_BYTES = 65_536  # a holder of no more may take the room kept for small requests
LARGE_SHARE = 0.75  # of all room, for holders of more than SMALL_BYTES
HALTED_S = 1.0
UNREAD_ANSWER_S = 1.5  # for which a part of an answer could not be sent


class ConnectionStage(Enum):
    """What a client's connection is used for at present.

    ``NEW`` has received nothing yet. ``READY`` has a request that was read whole, and
    ``SENDING`` sends a part of its answer. ``CLOSING`` has been answered for the last
    time and waits for its client to close.
    """

    NEW = "new"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    READY = "ready"
    SENDING = "sending"
    CLOSING = "closing"


READING_STAGES = (ConnectionStage.HEAD, ConnectionStage.BODY)
# The order in which connections are closed to make room for a new one.
STAGES_CLOSED_FIRST = (
    ConnectionStage.CLOSING,
    ConnectionStage.NEW,
    ConnectionStage.IDLE,
    ConnectionStage.HEAD,
)


class EndableConnection(t.Protocol):
    """A connection that can be ended to make room for others."""

    def close_now(self) -> None:
        """Close the connection without an answer."""

    def refuse_rest(self) -> None:
        """Read no more of the present request, and refuse it."""


@dataclasses.dataclass(eq=False, slots=True)
class Holding:
    """What one connection takes.

    :param size: bytes that it holds.
    :param progressed_at: when its client last sent or read something, in seconds.
    :param is_paused: its client's bytes are not read, for lack of room.
    :param is_open: it still counts as a connection.
    """

    connection: EndableConnection
    stage: ConnectionStage
    progressed_at: float
    size: int = 0
    is_paused: bool = False
    is_open: bool = True


class ClientBudget:
    """Shares a number of bytes and of connections among the connections of clients.

    :param max_bytes: bytes that all may hold together.
    :param max_connections: connections that may be open.
    :ivar held_bytes: bytes that all hold together.
    """

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        self._max_bytes = max_bytes
        self._max_connections = max_connections
        self._holdings_by_stage: dict[ConnectionStage, dict[Holding, None]] = {
            stage: {} for stage in ConnectionStage
        }
        self.held_bytes = 0

    @property
    def max_request_bytes(self) -> int:
        """Size of the largest request that there can be room for."""
        return int(self._max_bytes * LARGE_SHARE)

    @property
    def is_full(self) -> bool:
        """Whether there is no room for another connection."""
        holdings = self._holdings_by_stage.values()
        return sum(map(len, holdings)) >= self._max_connections

    def count(self, stage: ConnectionStage) -> int:
        """Return the number of connections in a stage."""
        return len(self._holdings_by_stage[stage])

    def open(self, connection: EndableConnection, now: float) -> Holding:
        """Record a new connection."""
        holding = Holding(connection, ConnectionStage.NEW, now)
        self._holdings_by_stage[holding.stage][holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Give back all that a connection takes."""
        self.resize(holding, 0)
        holding.is_open = False
        self._holdings_by_stage[holding.stage].pop(holding, None)

    def enter(self, holding: Holding, stage: ConnectionStage, now: float) -> None:
        """Record that a connection has entered another stage."""
        holding.progressed_at = now
        if holding.stage is stage or not holding.is_open:
            return
        del self._holdings_by_stage[holding.stage][holding]
        holding.stage = stage
        self._holdings_by_stage[stage][holding] = None

    def claim(self, holding: Holding, size: int, now: float) -> bool:
        """Take room for more bytes of a client; return false if there is none."""
        holding.progressed_at = now
        is_small = holding.size + size <= SMALL_BYTES
        room = self._max_bytes if is_small else self.max_request_bytes
        if self.held_bytes + size > room:
            return False
        self.resize(holding, holding.size + size)
        return True

    def resize(self, holding: Holding, size: int) -> None:
        """Record how many bytes a connection holds now; none once it is closed."""
        size = size if holding.is_open else 0
        self.held_bytes += size - holding.size
        holding.size = size

    def find_halted(self, now: float) -> Holding | None:
        """Return the largest request whose client has halted, if there is one."""
        halted = [
            holding
            for stage in READING_STAGES
            for holding in self._holdings_by_stage[stage]
            if _is_halted(holding, now, HALTED_S)
        ]
        return max(halted, key=lambda holding: holding.size, default=None)

    def find_expendable(self, now: float) -> Holding | None:
        """Return the connection to close first, to make room for a new one.

        ``None`` if all of them get on.
        """
        for stage in STAGES_CLOSED_FIRST:
            longest_there = next(iter(self._holdings_by_stage[stage]), None)
            if longest_there is not None:
                return longest_there
        return self.find_halted(now) or self.find_unread(now)

    def find_unread(self, now: float) -> Holding | None:
        """Return the connection whose client has read nothing for the longest."""
        unread = [
            holding
            for holding in self._holdings_by_stage[ConnectionStage.SENDING]
            if _is_halted(holding, now, UNREAD_ANSWER_S)
        ]
        return min(unread, key=lambda holding: holding.progressed_at, default=None)


def _is_halted(holding: Holding, now: float, after_s: float) -> bool:
    return not holding.is_paused and now - holding.progressed_at >= after_s
