"""Loads a service's model on spare endpoints when too few are live.

The instance that owns a service decides. Model weights come from a rate-limited
store, so one load at a time is ordered; a load that exceeds its timeout no longer
blocks the next one.
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
from ._order_sender import OrderSender
from ._settings_manager import SettingsManager

logger = logging.getLogger("foxtailsaddle.placement")

CHECK_INTERVAL_S = 1.0
LOAD_TIMEOUT_S = 120.0


class ModelPlacement:
    """Keeps the wanted number of endpoints live for each service."""

    def __init__(
        self,
        env: Environment,
        settings_manager: SettingsManager,
        members: Members,
        liveness: Liveness,
        order_sender: OrderSender,
    ) -> None:
        self._env = env
        self._settings_manager = settings_manager
        self._members = members
        self._liveness = liveness
        self._order_sender = order_sender
        self._ordered_at: dict[EndpointId, float] = {}

    async def run(self) -> None:
        """Check the services that this instance owns, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            owners = self._members.owners(self._env.clock.now())
            for service_id, service in self._settings_manager.log.tree.services.items():
                owner_id = owner_of(f"service:{service_id}", owners)
                if (
                    owner_id == self._members.own.id
                    and service.kind is ServiceKind.MODEL
                ):
                    await self.check(service_id, service)

    async def check(self, service_id: ServiceId, service: Service) -> None:
        """Order one model load if the service has too few live endpoints."""
        now = self._env.clock.now()
        await self._repeat_undone_orders(service_id, service)
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

    async def _repeat_undone_orders(
        self, service_id: ServiceId, service: Service
    ) -> None:
        """Read back what each engine has loaded; repeat orders that were undone.

        An engine that does not check fencing numbers may have accepted a late
        order of an instance that was paused.
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
            now - at < LOAD_TIMEOUT_S and endpoint_id not in live
            for endpoint_id, at in self._ordered_at.items()
        )

    async def _order(
        self, spare: EndpointId, service: Service, service_id: ServiceId
    ) -> bool:
        endpoint = service.endpoints[spare]
        try:
            await self._order_sender.order(spare, endpoint, (service_id,))
        except (FoxtailsaddleError, trio.TooSlowError) as error:
            logger.info(
                "placement: order failed",
                extra={"endpoint": spare, "error": str(error)},
            )
            return False
        self._ordered_at[spare] = self._env.clock.now()
        self._env.metrics.cold_starts.inc({"service": service_id})
        return True
