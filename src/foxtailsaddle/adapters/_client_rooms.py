"""Divides what a process has for clients among the addresses that it listens on."""

import dataclasses

from .._client_room import ClientRoom

CALLERS_BYTES = 0.5  # the rest is for operators and other instances
INTERNAL_BYTES = 0.25
CALLERS_CONNECTIONS = 0.75
INTERNAL_CONNECTIONS = 0.125


@dataclasses.dataclass(frozen=True)
class ClientRooms:
    """The room of each address; together they are no more than the process has."""

    callers: ClientRoom
    operators: ClientRoom
    peers: ClientRoom

    def by_address(self) -> dict[str, ClientRoom]:
        """Return the rooms by the name of their address in the settings."""
        return {
            "callers": self.callers,
            "operators": self.operators,
            "peers": self.peers,
        }


def divide_room(max_bytes: int, max_connections: int) -> ClientRooms:
    """Return the rooms, of which other addresses can't take those of peers.

    :param max_bytes: bytes that clients of all addresses may hold.
    :param max_connections: connections that may be open on all addresses.
    """

    def room(share_of_bytes: float, share_of_connections: float) -> ClientRoom:
        return ClientRoom(
            int(share_of_bytes * max_bytes), int(share_of_connections * max_connections)
        )

    return ClientRooms(
        callers=room(CALLERS_BYTES, CALLERS_CONNECTIONS),
        operators=room(INTERNAL_BYTES, INTERNAL_CONNECTIONS),
        peers=room(INTERNAL_BYTES, INTERNAL_CONNECTIONS),
    )
