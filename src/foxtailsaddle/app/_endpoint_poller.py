"""Polls the endpoints that this instance owns, and cancels orphaned attempts.

An attempt is orphaned if its deadline has passed and it still runs, as after a crash
of the instance that started it.
"""

import logging
import typing as t

import trio

from ..core import (
    Endpoint,
    EndpointId,
    Liveness,
    Members,
    ServiceId,
    ServiceKind,
    orphans,
)
from ..errors import FoxtailsaddleError
from ..ports import LoadReport
from ._environment import Environment
from ._router import Router
from ._settings_manager import SettingsManager

logger = logging.getLogger("foxtailsaddle.endpoints")

MS_PER_S = 1000

Poll = t.Callable[[ServiceId, EndpointId, Endpoint], t.Awaitable[None]]


class EndpointPoller:
    """Keeps liveness, load and cache state of the owned endpoints up to date."""

    def __init__(
        self,
        env: Environment,
        settings_manager: SettingsManager,
        members: Members,
        liveness: Liveness,
        router: Router,
    ) -> None:
        self._env = env
        self._settings_manager = settings_manager
        self._members = members
        self._liveness = liveness
        self._router = router
        self._cache_incarnation_by_endpoint: dict[EndpointId, str] = {}

    async def run(self) -> None:
        """Poll at the configured interval, until cancelled."""
        while True:
            await self.poll()
            await trio.sleep(self._env.settings.load_interval_s)

    async def poll(self) -> None:
        """Poll each owned endpoint once."""
        async with trio.open_nursery() as nursery:
            for service_id, service in self._settings_manager.log.tree.services.items():
                for endpoint_id, endpoint in service.endpoints.items():
                    if self._router.owner(endpoint_id) != self._members.own.id:
                        continue
                    poll = (
                        self._poll_model
                        if service.kind is ServiceKind.MODEL
                        else self._poll_plain
                    )
                    nursery.start_soon(
                        self._poll_and_log_failure,
                        poll,
                        service_id,
                        endpoint_id,
                        endpoint,
                    )

    async def _poll_and_log_failure(
        self,
        poll: Poll,
        service_id: ServiceId,
        endpoint_id: EndpointId,
        endpoint: Endpoint,
    ) -> None:
        try:
            await poll(service_id, endpoint_id, endpoint)
        except FoxtailsaddleError as error:
            logger.info(
                "endpoints: no word",
                extra={"endpoint": endpoint_id, "error": error.message},
            )

    async def _poll_model(
        self, service_id: ServiceId, endpoint_id: EndpointId, endpoint: Endpoint
    ) -> None:
        asked_at = self._env.clock.now()
        report = await self._env.models.load(endpoint.url)
        if not endpoint.spare or service_id in report.models:
            self._liveness.record_report(
                endpoint_id, report.incarnation, report.leaving, asked_at
            )
        queue = self._router.prefill_queue(endpoint_id)
        if queue is not None:
            age_s = report.age_s + self._env.clock.now() - asked_at
            queue.correct(report.remaining_tokens_by_attempt, age_s)
        await self._cancel_orphans(
            endpoint_id, endpoint, list(report.remaining_tokens_by_attempt)
        )
        if report.cache_head is not None:
            await self._update_prefix_index(endpoint_id, endpoint, report)

    async def _update_prefix_index(
        self, endpoint_id: EndpointId, endpoint: Endpoint, report: LoadReport
    ) -> None:
        """Apply cache events; after a gap or a restart, reload all cached blocks."""
        index = self._router.prefixes(endpoint_id)
        if self._cache_incarnation_by_endpoint.get(endpoint_id) == report.incarnation:
            if index.head >= report.cache_head:
                return
            events = await self._env.models.cache_events(endpoint.url, index.head)
            if index.apply(events):
                return
        head, digests = await self._env.models.cached_blocks(endpoint.url)
        index.replace(digests, head)
        self._cache_incarnation_by_endpoint[endpoint_id] = report.incarnation

    async def _poll_plain(
        self, service_id: ServiceId, endpoint_id: EndpointId, endpoint: Endpoint
    ) -> None:
        asked_at = self._env.clock.now()
        incarnation, leaving = await self._env.plain.health(endpoint.url)
        self._liveness.record_report(endpoint_id, incarnation, leaving, asked_at)

    async def _cancel_orphans(
        self, endpoint_id: EndpointId, endpoint: Endpoint, attempts: list[str]
    ) -> None:
        grace_ms = int(self._env.settings.reap_grace_s * MS_PER_S)
        for attempt in orphans(attempts, self._env.clock.wall_ms(), grace_ms):
            await self._env.models.cancel(endpoint.url, attempt)
            self._env.metrics.orphans_cancelled.inc({})
            logger.info(
                "endpoints: orphan cancelled",
                extra={"endpoint": endpoint_id, "attempt": attempt},
            )
