"""Loads a service's model on spare endpoints when too few are live.

The home of a service decides. Weights come from a rate-limited store, so one
load at a time is ordered; a load that does not end in time is given up.
"""

import logging

import trio

from ..core import (
    EndpointId,
    Liveness,
    Members,
    Service,
    ServiceId,
    ServiceKind,
    owner_of,
)
from ..errors import FoxtailsaddleError
from ._environment import Environment
from ._orders import OrderDesk
from ._settings_keeper import SettingsKeeper

logger = logging.getLogger("foxtailsaddle.placement")

CHECK_S = 1.0
LOAD_BOUND_S = 120.0


class Placement:
    """Keeps the wanted number of endpoints live for each service."""

    def __init__(
        self,
        env: Environment,
        keeper: SettingsKeeper,
        members: Members,
        liveness: Liveness,
        desk: OrderDesk,
    ) -> None:
        self._env = env
        self._keeper = keeper
        self._members = members
        self._liveness = liveness
        self._desk = desk
        self._ordered_at: dict[EndpointId, float] = {}

    async def run(self) -> None:
        """Check all services for ever."""
        while True:
            await trio.sleep(CHECK_S)
            owners = self._members.owners(self._env.clock.now())
            for service_id, service in self._keeper.log.tree.services.items():
                home = owner_of(f"service:{service_id}", owners)
                if home == self._members.own.id and service.kind is ServiceKind.MODEL:
                    await self.check(service_id, service)

    async def check(self, service_id: ServiceId, service: Service) -> None:
        """Order one load when the service has too few live endpoints."""
        now = self._env.clock.now()
        await self._repair(service_id, service)
        live = [
            endpoint_id
            for endpoint_id, endpoint in service.endpoints.items()
            if not endpoint.withdrawn and self._liveness.may_get_work(endpoint_id, now)
        ]
        if len(live) >= service.wanted or self._is_loading(live, now):
            return
        spares = [
            endpoint_id
            for endpoint_id, endpoint in service.endpoints.items()
            if endpoint.spare and not endpoint.withdrawn and endpoint_id not in live
        ]
        for spare in sorted(spares, key=lambda item: self._ordered_at.get(item, 0.0)):
            if await self._order(spare, service, service_id):
                return

    async def _repair(self, service_id: ServiceId, service: Service) -> None:
        """Read back what was ordered, and order it again if it was undone.

        An engine that checks no fencing numbers may have taken the late order
        of an instance that was paused.
        """
        for endpoint_id in list(self._ordered_at):
            endpoint = service.endpoints.get(endpoint_id)
            if endpoint is None or endpoint.withdrawn:
                continue
            try:
                report = await self._env.models.load(endpoint.url)
            except FoxtailsaddleError:
                continue
            if report.models and report.models != (service_id,):
                logger.warning(
                    "placement: order was undone", extra={"endpoint": endpoint_id}
                )
                await self._order(endpoint_id, service, service_id)

    def _is_loading(self, live: list[EndpointId], now: float) -> bool:
        return any(
            now - at < LOAD_BOUND_S and endpoint_id not in live
            for endpoint_id, at in self._ordered_at.items()
        )

    async def _order(
        self, spare: EndpointId, service: Service, service_id: ServiceId
    ) -> bool:
        endpoint = service.endpoints[spare]
        try:
            await self._desk.order(spare, endpoint, (service_id,))
        except (FoxtailsaddleError, trio.TooSlowError) as error:
            logger.info(
                "placement: order failed",
                extra={"endpoint": spare, "error": str(error)},
            )
            return False
        self._ordered_at[spare] = self._env.clock.now()
        self._env.metrics.cold_starts.inc({"service": service_id})
        return True
