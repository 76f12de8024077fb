"""Orders to engines, under a lease and its fencing number.

An order states the desired state, so repeating it is idempotent. Engines that
check the fencing number refuse the late order of a holder that was paused. For
engines that don't, a new holder first waits until sends of the previous one must
have timed out, and the state is read back and corrected while the lease is held.
"""

import dataclasses
import logging

import trio

from ..core import Endpoint, EndpointId, Lease, OrderCheck, next_lease
from ..errors import LeaseLostError, PreconditionFailedError
from ..ports import Row
from ._environment import Environment
from ._restore_monitor import RestoreMonitor

logger = logging.getLogger("foxtailsaddle.orders")

TABLE = "leases"
LEASE_TERM_MS = 10_000
MAX_CLOCK_SKEW_MS = 500
SEND_TIMEOUT_S = 1.0
SEND_TIMEOUT_MS = 1_000
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldLease:
    """A lease of this instance.

    :param era: the platform's era in which it was written.
    """

    lease: Lease
    era: int


class OrderSender:
    """Acquires leases on endpoints and sends orders under them.

    After a restore of the platform, a lease that it no longer shows may still be held.
    Another instance acquires it only after the term of a lease has passed.
    """

    def __init__(self, env: Environment, restore_monitor: RestoreMonitor) -> None:
        self._env = env
        self._restore_monitor = restore_monitor
        self._lease_by_endpoint: dict[EndpointId, _HeldLease] = {}

    async def order(
        self, endpoint_id: EndpointId, endpoint: Endpoint, models: tuple[str, ...]
    ) -> None:
        """Order an engine to have exactly these models loaded.

        :raises LeaseLostError: another instance holds the lease, or the engine
            has seen a higher fencing number.
        :raises FoxtailsaddleError: the platform or the engine did not answer.
        """
        lease = await self.acquire_lease(endpoint_id, endpoint)
        await self.send(endpoint_id, endpoint, lease, models)

    async def acquire_lease(self, endpoint_id: EndpointId, endpoint: Endpoint) -> Lease:
        """Return a lease that covers a send, acquiring or renewing it if needed."""
        cached = self._lease_by_endpoint.get(endpoint_id)
        if cached is not None and self._is_valid(cached):
            return cached.lease
        row = await self._env.platform.get(TABLE, endpoint_id)
        era = self._restore_monitor.era
        previous = Lease(**row.value) if row else None
        if cached is None or not cached.lease.may_send(self._env.clock.wall_ms(), 0):
            self._check_no_lost_lease(endpoint_id)
        lease = self._next_lease(endpoint_id, previous)
        await self._write_lease(endpoint_id, lease, row)
        if self._restore_monitor.era != era:
            self._lease_by_endpoint.pop(endpoint_id, None)
            raise LeaseLostError(
                f'the platform was restored while the lease on "{endpoint_id}" was '
                f"written"
            )
        self._lease_by_endpoint[endpoint_id] = _HeldLease(lease, era)
        taken_over = previous is not None and previous.number != lease.number
        if taken_over and endpoint.orders is OrderCheck.UNCHECKED:
            await trio.sleep(SEND_TIMEOUT_S)
        return lease

    async def send(
        self,
        endpoint_id: EndpointId,
        endpoint: Endpoint,
        lease: Lease,
        models: tuple[str, ...],
    ) -> None:
        """Send one order, if the lease outlasts the send's timeout.

        :raises LeaseLostError: the lease has expired, or the engine has seen a
            higher fencing number.
        """
        if not lease.may_send(self._env.clock.wall_ms(), SEND_TIMEOUT_MS):
            self._lease_by_endpoint.pop(endpoint_id, None)
            raise LeaseLostError(f'the lease on endpoint "{endpoint_id}" has expired')
        with trio.fail_after(SEND_TIMEOUT_S):
            accepted = await self._env.models.assign_models(
                endpoint.url, lease.number, models
            )
        if not accepted:
            self._lease_by_endpoint.pop(endpoint_id, None)
            raise LeaseLostError(
                f'endpoint "{endpoint_id}" has seen a fencing number '
                f"above {lease.number}"
            )
        logger.info(
            "orders: order accepted",
            extra={"endpoint": endpoint_id, "number": lease.number, "models": models},
        )

    def _is_valid(self, held: _HeldLease) -> bool:
        outlasts_send = held.lease.may_send(
            self._env.clock.wall_ms(), 2 * SEND_TIMEOUT_MS
        )
        return outlasts_send and held.era == self._restore_monitor.era

    def _check_no_lost_lease(self, endpoint_id: EndpointId) -> None:
        """Check that no lease can be valid that a restore of the platform has lost.

        :raises LeaseLostError: another instance may hold one.
        """
        longest_s = (LEASE_TERM_MS + MAX_CLOCK_SKEW_MS) / MS_PER_S
        if self._restore_monitor.elapsed_s() <= longest_s:
            raise LeaseLostError(
                f"the platform was just restored; another instance may hold the lease "
                f'on endpoint "{endpoint_id}"'
            )

    def _next_lease(self, endpoint_id: EndpointId, previous: Lease | None) -> Lease:
        lease = next_lease(
            previous,
            self._env.settings.id,
            self._env.incarnation,
            self._env.clock.wall_ms(),
            LEASE_TERM_MS,
            MAX_CLOCK_SKEW_MS,
            self._restore_monitor.era,
        )
        if lease is None:
            raise LeaseLostError(
                f'instance "{previous.holder}" holds the lease on "{endpoint_id}"'
            )
        return lease

    async def _write_lease(
        self, endpoint_id: EndpointId, lease: Lease, row: Row | None
    ) -> Row:
        expected = row.version if row else 0
        try:
            return await self._env.platform.put(
                TABLE, endpoint_id, lease.to_row(), expected
            )
        except PreconditionFailedError as error:
            raise LeaseLostError(
                f'the lease on endpoint "{endpoint_id}" was taken by another instance'
            ) from error
