"""Memory set aside at engines for prompts larger than one engine holds."""

import contextlib
import logging
import typing as t

import trio

from ..core import EndpointId, Job
from ..errors import FoxtailsaddleError, NothingSentError
from ..ports import Desk
from ._fleet import Fleet
from ._nursery import ungrouped

logger = logging.getLogger("foxtailsaddle.memory")

HOLD_S = 3.0
RENEW_S = 1.0
LATE_RELEASES_S = (2.5, 5.0, 8.0, 12.5)  # an unanswered order may come as late


class MemoryFullError(NothingSentError):
    """An engine has not the memory that was to be set aside.

    :param endpoint: the engine.
    """

    code = "memory_full"

    def __init__(self, endpoint: EndpointId) -> None:
        super().__init__(f'"{endpoint}" has no memory left')
        self.endpoint = endpoint


class Reservations:
    """Takes and gives back memory; the whole of it or nothing.

    The lease is short and renewed, so that what an instance held falls back
    soon after its death.

    :param nursery: for what goes on after a request has ended.
    """

    def __init__(self, fleet: Fleet, desk: Desk, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._desk = desk
        self._nursery = nursery

    @contextlib.asynccontextmanager
    async def held(
        self, job: Job, left_s: float
    ) -> t.AsyncIterator[tuple[tuple[str, str], ...]]:
        """Hold a job's memory; yields address and reservation of each helper.

        :raises NothingSentError: a helper is gone or has no memory left.
        """
        holding = _Holding(self, job, self._addresses(job))
        if not job.held:
            yield holding.helpers()
            return
        try:
            with ungrouped():
                await holding.take()
                async with trio.open_nursery() as renewing:
                    renewing.start_soon(holding.renew)
                    yield holding.helpers()
                    renewing.cancel_scope.cancel()
        finally:
            self._nursery.start_soon(holding.give_back)

    def _addresses(self, job: Job) -> dict[EndpointId, str]:
        addresses = {}
        for helper in job.helpers:
            entry = self._fleet.endpoints.get(helper)
            if entry is None:
                raise NothingSentError(f'helper "{helper}" is gone')
            addresses[helper] = entry.address
        return addresses

    @property
    def desk(self) -> Desk:
        """Where the orders are sent."""
        return self._desk


class _Holding:
    """The memory of one job."""

    def __init__(
        self, owner: Reservations, job: Job, addresses: dict[EndpointId, str]
    ) -> None:
        self._owner = owner
        self._job = job
        self._addresses = addresses
        self._id = f"{job.id:x}"
        self._unanswered: set[EndpointId] = set()

    def helpers(self) -> tuple[tuple[str, str], ...]:
        """Return address and reservation of each helper."""
        return tuple(
            (address, self._id if endpoint in self._job.held else "")
            for endpoint, address in self._addresses.items()
        )

    async def take(self) -> None:
        """Reserve at all helpers at once.

        :raises NothingSentError: one of them has no memory left.
        """
        async with trio.open_nursery() as nursery:
            for endpoint in self._job.held:
                nursery.start_soon(self._reserve, endpoint)

    async def renew(self) -> None:
        """Extend the lease until cancelled."""
        while True:
            await trio.sleep(RENEW_S)
            for endpoint in self._job.held:
                with contextlib.suppress(NothingSentError):
                    await self._reserve(endpoint)

    async def _reserve(self, endpoint: EndpointId) -> None:
        address = self._addresses[endpoint]
        tokens = self._job.held[endpoint]
        try:
            done = await self._owner.desk.reserve(address, self._id, tokens, HOLD_S)
        except FoxtailsaddleError as error:
            self._unanswered.add(endpoint)
            raise NothingSentError(error.message) from error
        except trio.Cancelled:
            self._unanswered.add(endpoint)
            raise
        if not done:
            raise MemoryFullError(endpoint)

    async def give_back(self) -> None:
        """Release everywhere; again where an order may still be on its way."""
        for endpoint in self._job.held:
            await self._release(endpoint)
        waited_s = 0.0
        for at_s in LATE_RELEASES_S if self._unanswered else ():
            await trio.sleep(at_s - waited_s)
            waited_s = at_s
            for endpoint in self._unanswered:
                await self._release(endpoint)

    async def _release(self, endpoint: EndpointId) -> None:
        try:
            await self._owner.desk.release(self._addresses[endpoint], self._id)
        except FoxtailsaddleError as error:
            self._unanswered.add(endpoint)
            logger.info(
                "memory: not released",
                extra={"endpoint": endpoint, "id": self._id, "why": error.message},
            )
