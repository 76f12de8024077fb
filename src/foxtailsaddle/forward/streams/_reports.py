"""Polls the load reports of engines; each engine is polled by one instance."""

import dataclasses
import logging

import trio

from ..._tasks import log_unexpected
from ...core import AttemptOutcome, InstanceId, ListedEndpoint, split_keys
from ...errors import FoxtailsaddleError, NothingSentError
from ...ports import EngineControl
from .._fleet import FleetState
from ..peers import Peers

logger = logging.getLogger("foxtailsaddle.reports")

REPORT_INTERVAL_S = 1.2
# Times slower than published. Smaller values are recorded and sent to the other
# instances only while the recorded value is above this bound.
MIN_RECORDED_SLOWDOWN = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class _OwnedEngines:
    """The engines that this instance polls, and from what that was worked out.

    Working it out takes a hash for each engine.
    """

    members: tuple[InstanceId, ...]
    engines: tuple[ListedEndpoint, ...]
    owned: list[ListedEndpoint]


class ReportPoller:
    """Polls the load reports of the engines that this instance owns.

    Each report is charged, so only one instance asks for it and sends the result to
    the others. An engine with a limit is not asked: a report would be one of the
    requests that it takes.
    """

    def __init__(
        self, fleet: FleetState, peers: Peers, engine_control: EngineControl
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._engine_control = engine_control
        self._owned = _OwnedEngines((), (), [])

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            now = trio.current_time()
            available = self._fleet.eligible(self._owned_engines(), now)
            limit_of = self._fleet.request_limits.limit_of
            unlimited = [e for e in available if limit_of(e, now) is None]
            async with trio.open_nursery() as nursery:
                for entry in unlimited:
                    nursery.start_soon(log_unexpected, self._poll, entry)

    def _owned_engines(self) -> list[ListedEndpoint]:
        table = self._fleet.route_table
        if table is None:
            return []
        members = (self._fleet.instance, *(peer.id for peer in self._peers.live()))
        engines = tuple(
            entry
            for service in table.service_by_id.values()
            if service.engine is not None
            for entry in self._fleet.endpoints.usable(service.id)
        )
        if (members, engines) != (self._owned.members, self._owned.engines):
            own = self._fleet.instance
            owned_ids = set(split_keys([entry.id for entry in engines], own, members))
            owned = [entry for entry in engines if entry.id in owned_ids]
            self._owned = _OwnedEngines(members, engines, owned)
        return self._owned.owned

    async def _poll(self, entry: ListedEndpoint) -> None:
        try:
            report = await self._engine_control.report(entry.address)
        except FoxtailsaddleError as error:
            now = trio.current_time()
            if isinstance(error, NothingSentError) and error.is_confirmed:
                self._fleet.record_outcome(entry.id, AttemptOutcome.UNREACHABLE, now)
            logger.info(
                "reports: none", extra={"endpoint": entry.id, "why": error.message}
            )
            return
        now = trio.current_time()
        known_slowdown = self._fleet.health.slowdown(entry.id, now)
        if (
            report.slowdown > MIN_RECORDED_SLOWDOWN
            or known_slowdown > MIN_RECORDED_SLOWDOWN
        ):
            self._fleet.record_slowdown(entry.id, report.slowdown, now)
            logger.info(
                "reports: slow",
                extra={
                    "endpoint": entry.id,
                    "pace": report.slowdown,
                    "queued": report.queued,
                    "running": report.running,
                    "kv_used": report.kv_used_tokens,
                },
            )
