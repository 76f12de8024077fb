"""Finds out whether an endpoint died of a request or only lost its answer."""

import logging

import trio

from ..errors import NothingSentError
from ._call import Call
from ._fleet import Fleet
from ._sockets import connect

logger = logging.getLogger("foxtailsaddle.crashes")

LOOK_AFTER_S = 0.25
CONNECT_S = 0.4


class Autopsy:
    """Looks at an endpoint shortly after a connection to it broke.

    One that no longer accepts connections has died, and the request in flight
    is a suspect; an answer that was only lost says nothing about the request.

    :param nursery: for the look, which must not hold up the request.
    """

    def __init__(self, fleet: Fleet, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._nursery = nursery

    def begin(self, call: Call, endpoint: str, address: str) -> None:
        """Look at an endpoint that broke off a request."""
        self._nursery.start_soon(self._look, call, endpoint, address)

    async def _look(self, call: Call, endpoint: str, address: str) -> None:
        await trio.sleep(LOOK_AFTER_S)
        try:
            sock = await connect(address, CONNECT_S)
        except NothingSentError:
            now = trio.current_time()
            self._fleet.note_death(call.fingerprint, endpoint, now)
            deaths = self._fleet.crashes.deaths(call.fingerprint, now)
            logger.warning(
                "crashes: endpoint died under a request",
                extra={
                    "id": call.request.id,
                    "endpoint": endpoint,
                    "fingerprint": call.fingerprint,
                    "deaths": deaths,
                },
            )
        else:
            sock.close()
