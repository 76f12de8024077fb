"""Reserves memory at helper engines for prompts that don't fit into one engine."""

import contextlib
import logging
import typing as t

import trio

from ..._tasks import log_unexpected
from ...core import EndpointId, Job
from ...errors import FoxtailsaddleError, NothingSentError
from ...ports import EngineControl
from .._fleet import FleetState
from ..limits import LimitGate
from ..transport import unwrap_error_group

logger = logging.getLogger("foxtailsaddle.memory")

LEASE_S = 3.0
RENEWALS_PER_LEASE = 3
# An unconfirmed reservation may still take effect as late as the last of these.
REPEATED_RELEASES_AT_S = (2.5, 5.0, 8.0, 12.5)


class MemoryFullError(NothingSentError):
    """An engine does not have the memory that was to be reserved.

    :param endpoint: the engine.
    """

    code = "memory_full"

    def __init__(self, endpoint: EndpointId) -> None:
        super().__init__(f'"{endpoint}" has not enough free memory')
        self.endpoint = endpoint


class Reservations:
    """Reserves and releases the memory of jobs, at all helpers or at none.

    The lease is short and renewed, so that memory is freed soon after the instance
    that reserved it has crashed.

    :param nursery: runs the releases, which continue after a request has ended.
    :param longest_s: engines refuse a longer lease, in seconds.
    :ivar lease_s: term of a lease, in seconds.
    """

    def __init__(
        self,
        fleet: FleetState,
        engine_control: EngineControl,
        limit_gate: LimitGate,
        nursery: trio.Nursery,
        longest_s: float = LEASE_S,
    ) -> None:
        self.lease_s = min(LEASE_S, longest_s)
        self._fleet = fleet
        self._engine_control = engine_control
        self._limit_gate = limit_gate
        self._nursery = nursery

    @contextlib.asynccontextmanager
    async def reserved(
        self, job: Job, remaining_s: float
    ) -> t.AsyncIterator[tuple[tuple[str, str], ...]]:
        """Reserve a job's memory while the context is active.

        Yields the address and the reservation id of each helper; the id is empty for
        helpers that reserve nothing.

        :raises NothingSentError: a helper is gone, did not answer or is out of memory.
        """
        reservation = _Reservation(self, job, self._addresses(job))
        if not job.reserved_by_endpoint:
            yield reservation.helper_reservations()
            return
        try:
            with unwrap_error_group():
                await reservation.reserve()
                async with trio.open_nursery() as renewing:
                    renewing.start_soon(reservation.renew)
                    yield reservation.helper_reservations()
                    renewing.cancel_scope.cancel()
        finally:
            self._nursery.start_soon(log_unexpected, reservation.release)

    def _addresses(self, job: Job) -> dict[EndpointId, str]:
        addresses = {}
        for helper in job.helpers:
            entry = self._fleet.endpoints.get(helper)
            if entry is None:
                raise NothingSentError(f'helper "{helper}" is no longer listed')
            addresses[helper] = entry.address
        return addresses

    def charge_limit(self, endpoint: EndpointId) -> None:
        """Count an order as a request, if the engine has a limit."""
        entry = self._fleet.endpoints.get(endpoint)
        if entry is not None:
            self._limit_gate.charge(entry)

    @property
    def engine_control(self) -> EngineControl:
        """Client for the engines' memory."""
        return self._engine_control


class _Reservation:
    """The memory reserved for one job."""

    def __init__(
        self, reservations: Reservations, job: Job, addresses: dict[EndpointId, str]
    ) -> None:
        self._reservations = reservations
        self._job = job
        self._addresses = addresses
        self._id = f"{job.id:x}"
        self._unconfirmed: set[EndpointId] = set()

    def helper_reservations(self) -> tuple[tuple[str, str], ...]:
        """Return the address and the reservation id of each helper."""
        return tuple(
            (address, self._id if endpoint in self._job.reserved_by_endpoint else "")
            for endpoint, address in self._addresses.items()
        )

    async def reserve(self) -> None:
        """Reserve memory at all helpers concurrently.

        :raises NothingSentError: one of them did not answer or is out of memory.
        """
        async with trio.open_nursery() as nursery:
            for endpoint in self._job.reserved_by_endpoint:
                nursery.start_soon(self._reserve, endpoint)

    async def renew(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            await trio.sleep(self._reservations.lease_s / RENEWALS_PER_LEASE)
            for endpoint in self._job.reserved_by_endpoint:
                with contextlib.suppress(NothingSentError):
                    await self._reserve(endpoint)

    async def _reserve(self, endpoint: EndpointId) -> None:
        address = self._addresses[endpoint]
        tokens = self._job.reserved_by_endpoint[endpoint]
        self._reservations.charge_limit(endpoint)
        try:
            was_reserved = await self._reservations.engine_control.reserve(
                address, self._id, tokens, self._reservations.lease_s
            )
        except FoxtailsaddleError as error:
            self._unconfirmed.add(endpoint)
            raise NothingSentError(error.message) from error
        except trio.Cancelled:
            self._unconfirmed.add(endpoint)
            raise
        if not was_reserved:
            raise MemoryFullError(endpoint)

    async def release(self) -> None:
        """Release the memory at all helpers.

        The release is repeated at helpers that did not confirm an earlier request,
        since that request may still arrive and reserve memory.
        """
        for endpoint in self._job.reserved_by_endpoint:
            await self._release(endpoint)
        waited_s = 0.0
        for at_s in REPEATED_RELEASES_AT_S if self._unconfirmed else ():
            await trio.sleep(at_s - waited_s)
            waited_s = at_s
            for endpoint in self._unconfirmed:
                await self._release(endpoint)

    async def _release(self, endpoint: EndpointId) -> None:
        self._reservations.charge_limit(endpoint)
        try:
            await self._reservations.engine_control.release(
                self._addresses[endpoint], self._id
            )
        except FoxtailsaddleError as error:
            self._unconfirmed.add(endpoint)
            logger.info(
                "memory: not released",
                extra={"endpoint": endpoint, "id": self._id, "why": error.message},
            )
