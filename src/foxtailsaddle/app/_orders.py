"""Orders to engines, under a lease and its fencing number.

An order says the desired state, never a step, so that giving it again changes
nothing. Engines that check the number refuse a paused holder's order. Before
engines that don't, a successor first waits out the bound of a send, and the
state is read back and repaired for as long as the lease is held.
"""

import logging

import trio

from ..core import Endpoint, EndpointId, Lease, OrderCheck, next_lease
from ..errors import LeaseLostError, PreconditionFailedError
from ..ports import Row
from ._environment import Environment

logger = logging.getLogger("foxtailsaddle.orders")

TABLE = "leases"
TERM_MS = 10_000
SKEW_MS = 500
SEND_BOUND_S = 1.0
SEND_BOUND_MS = 1_000


class OrderDesk:
    """Takes leases on endpoints and sends orders under them."""

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._lease_by_endpoint: dict[EndpointId, tuple[Lease, int]] = {}

    async def order(
        self, endpoint_id: EndpointId, endpoint: Endpoint, models: tuple[str, ...]
    ) -> None:
        """Order an engine to have just these models loaded.

        :raises LeaseLostError: another instance holds the lease, or the engine
            has seen a later number.
        :raises FoxtailsaddleError: the platform or the engine did not answer.
        """
        lease = await self.hold(endpoint_id, endpoint)
        await self.send(endpoint_id, endpoint, lease, models)

    async def hold(self, endpoint_id: EndpointId, endpoint: Endpoint) -> Lease:
        """Return a lease that covers a send, taking or renewing it if needed."""
        held = self._lease_by_endpoint.get(endpoint_id)
        now_ms = self._env.clock.wall_ms()
        if held is not None and held[0].may_send(now_ms, 2 * SEND_BOUND_MS):
            return held[0]
        row = await self._env.platform.get(TABLE, endpoint_id)
        before = Lease(**row.value) if row else None
        lease = self._next(endpoint_id, before)
        written = await self._write(endpoint_id, lease, row)
        self._lease_by_endpoint[endpoint_id] = (lease, written.version)
        taken_over = before is not None and before.number != lease.number
        if taken_over and endpoint.orders is OrderCheck.UNCHECKED:
            await trio.sleep(SEND_BOUND_S)
        return lease

    async def send(
        self,
        endpoint_id: EndpointId,
        endpoint: Endpoint,
        lease: Lease,
        models: tuple[str, ...],
    ) -> None:
        """Send one order, if the lease covers the send's own bound."""
        if not lease.may_send(self._env.clock.wall_ms(), SEND_BOUND_MS):
            self._lease_by_endpoint.pop(endpoint_id, None)
            raise LeaseLostError(f'the lease on endpoint "{endpoint_id}" has lapsed')
        with trio.fail_after(SEND_BOUND_S):
            taken = await self._env.models.order(endpoint.url, lease.number, models)
        if not taken:
            self._lease_by_endpoint.pop(endpoint_id, None)
            raise LeaseLostError(
                f'endpoint "{endpoint_id}" has seen a later number than {lease.number}'
            )
        logger.info(
            "orders: order taken",
            extra={"endpoint": endpoint_id, "number": lease.number, "models": models},
        )

    def _next(self, endpoint_id: EndpointId, before: Lease | None) -> Lease:
        lease = next_lease(
            before,
            self._env.settings.id,
            self._env.incarnation,
            self._env.clock.wall_ms(),
            TERM_MS,
            SKEW_MS,
        )
        if lease is None:
            raise LeaseLostError(
                f'instance "{before.holder}" holds the lease on "{endpoint_id}"'
            )
        return lease

    async def _write(
        self, endpoint_id: EndpointId, lease: Lease, row: Row | None
    ) -> Row:
        expected = row.version if row else 0
        try:
            return await self._env.platform.put(
                TABLE, endpoint_id, lease.to_row(), expected
            )
        except PreconditionFailedError as error:
            raise LeaseLostError(
                f'the lease on endpoint "{endpoint_id}" was taken by another'
            ) from error
