"""Asks engines for their reports, each by one instance."""

import logging

import trio

from ..core import AttemptOutcome, ListedEndpoint, owner_of
from ..errors import FoxtailsaddleError, NothingSentError
from ..ports import Desk
from ._fleet import Fleet
from ._peers import Peers

logger = logging.getLogger("foxtailsaddle.reports")

EVERY_S = 1.2
SLOW_FROM = 1.2


class ReportWatcher:
    """Reads the reports of the engines that this instance owns.

    Each report is priced, so one instance asks and tells the others.
    """

    def __init__(self, fleet: Fleet, peers: Peers, desk: Desk) -> None:
        self._fleet = fleet
        self._peers = peers
        self._desk = desk

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await trio.sleep(EVERY_S)
            async with trio.open_nursery() as nursery:
                for entry in self._own():
                    nursery.start_soon(self._ask, entry)

    def _own(self) -> list[ListedEndpoint]:
        table = self._fleet.table
        if table is None:
            return []
        members = [self._fleet.instance, *(peer.id for peer in self._peers.live())]
        return [
            entry
            for service in table.service_by_id.values()
            if service.engine is not None
            for entry in self._fleet.endpoints.usable(service.id)
            if owner_of(entry.id, members) == self._fleet.instance
        ]

    async def _ask(self, entry: ListedEndpoint) -> None:
        try:
            report = await self._desk.report(entry.address)
        except FoxtailsaddleError as error:
            now = trio.current_time()
            if isinstance(error, NothingSentError):
                self._fleet.note_outcome(entry.id, AttemptOutcome.UNREACHED, now)
            logger.info(
                "reports: none", extra={"endpoint": entry.id, "why": error.message}
            )
            return
        now = trio.current_time()
        known = self._fleet.health.pace(entry.id, now)
        if report.pace > SLOW_FROM or known > SLOW_FROM:
            self._fleet.note_pace(entry.id, report.pace, now)
            logger.info(
                "reports: slow",
                extra={
                    "endpoint": entry.id,
                    "pace": report.pace,
                    "queued": report.queued,
                    "running": report.running,
                    "kv_used": report.kv_used,
                },
            )
