"""Tells an endpoint that crashed during a request from a connection that broke."""

import collections
import dataclasses
import logging

import trio

from ..._tasks import log_unexpected
from ...core import (
    AttemptOutcome,
    CrashEvidence,
    CrashId,
    EndpointCrash,
    EndpointDeath,
    ListedEndpoint,
    PromptPartId,
    is_draining,
    may_have_crashed,
)
from ...errors import ExchangeBrokenError, NothingSentError
from .._fleet import FleetState
from .._log_fields import logged_parts
from .._request_context import RequestContext
from ._attempt import RefusedError
from ._part_checks import RefusalAnnouncer

logger = logging.getLogger("foxtailsaddle.crashes")

MISDIRECTED_REQUEST = 421
SECOND_PROBE_S = 0.25  # after the first; a process that ends may still listen briefly
PROBE_TIMEOUT_S = 0.4
LIST_CHECK_INTERVAL_S = 0.25
LIST_CHECKS_S = 5.0  # after a break, for which a restart is looked for in the list
MAX_SUSPICIONS = 256
MAX_REQUESTS_PER_SUSPICION = 16
MAX_REMEMBERED_CRASHES = 1000
MAX_SENT_FAILURES = 2  # of connections that broke together
PATH_CHECK_S = 0.5  # before a break, in which its path may have been found cut


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenRequest:
    """A request whose connection to an endpoint broke.

    :param suspects: parts of its prompt that may be at fault.
    """

    context: RequestContext
    suspects: tuple[PromptPartId, ...]


@dataclasses.dataclass(slots=True, eq=False)
class _Suspicion:
    """Connections to one endpoint that broke at about the same time.

    :ivar connection_lost: a connection ended, and was not only silent.
    :ivar requests: what was under way on these connections.
    """

    endpoint: ListedEndpoint
    broken_at: float
    connection_lost: bool
    requests: list[_BrokenRequest] = dataclasses.field(default_factory=list)


class CrashDetector:
    """Checks endpoints whose connections broke, and records those that crashed.

    Proof of a crash is a refused connection, a later process in the list of endpoints,
    or a response of another endpoint from the same address. A connection that only
    times out proves nothing, and an endpoint that leaves as planned has not crashed.

    :param nursery: runs the checks, so that the requests do not wait for them.
    """

    def __init__(self, fleet: FleetState, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._nursery = nursery
        self._announcer = RefusalAnnouncer(fleet)
        self._open: list[_Suspicion] = []
        self._is_full = False
        self._crash_by_incarnation: collections.OrderedDict[str, EndpointCrash] = (
            collections.OrderedDict()
        )

    def check(
        self,
        context: RequestContext,
        endpoint: ListedEndpoint | None,
        failure: Exception,
    ) -> None:
        """Check in the background whether an endpoint crashed under a request.

        :param endpoint: its entry in the list when the request was sent.
        :param failure: why the attempt to run the request there failed.
        """
        if endpoint is None:
            return
        if isinstance(failure, ExchangeBrokenError):
            self._record_broken(context, endpoint, failure.connection_lost)
        elif _is_of_another_endpoint(failure, endpoint):
            self._record_misdirected(endpoint)

    def _record_broken(
        self, context: RequestContext, endpoint: ListedEndpoint, connection_lost: bool
    ) -> None:
        request = _BrokenRequest(context, context.suspects)
        crash = self._crash_by_incarnation.get(endpoint.incarnation)
        if crash is not None:
            self._record_death(request, crash)
            return
        if self._is_leaving(endpoint):
            return
        if not may_have_crashed(endpoint, self._fleet.endpoints):
            return
        suspicion = self._suspicion(endpoint)
        if suspicion is None:
            return
        suspicion.connection_lost |= connection_lost
        if len(suspicion.requests) < MAX_REQUESTS_PER_SUSPICION:
            suspicion.requests.append(request)

    def _record_misdirected(self, endpoint: ListedEndpoint) -> None:
        """Record that another endpoint responded at the address of this one."""
        for suspicion in list(self._open):
            if suspicion.endpoint.incarnation == endpoint.incarnation:
                self._conclude(suspicion, CrashEvidence.MISDIRECTED)

    def _suspicion(self, endpoint: ListedEndpoint) -> _Suspicion | None:
        """Return the present suspicion of an endpoint, a new one if there is none."""
        now = trio.current_time()
        for suspicion in self._open:
            is_same = suspicion.endpoint.incarnation == endpoint.incarnation
            if is_same and now - suspicion.broken_at < SECOND_PROBE_S:
                return suspicion
        is_full = len(self._open) >= MAX_SUSPICIONS
        if is_full and not self._is_full:
            logger.warning("crashes: too many broken connections, some not checked")
        self._is_full = is_full
        if is_full:
            return None
        suspicion = _Suspicion(endpoint, now, connection_lost=False)
        self._open.append(suspicion)
        self._nursery.start_soon(log_unexpected, self._investigate, suspicion)
        return suspicion

    async def _investigate(self, suspicion: _Suspicion) -> None:
        await self._probe(suspicion)
        await trio.sleep_until(suspicion.broken_at + SECOND_PROBE_S)
        await self._probe(suspicion)
        if self._is_path_at_fault(suspicion):
            self._discard(suspicion)
        self._send_failures(suspicion)
        if suspicion.connection_lost:
            await self._follow_list(suspicion)
        self._close(suspicion)

    async def _probe(self, suspicion: _Suspicion) -> None:
        """Connect to the endpoint; a refusal proves that its process has ended."""
        if suspicion not in self._open:
            return
        try:
            connection = await self._fleet.connect(
                suspicion.endpoint.address, PROBE_TIMEOUT_S
            )
        except NothingSentError as error:
            if error.connection_refused:
                self._conclude(suspicion, CrashEvidence.REFUSED)
        else:
            connection.close()

    async def _follow_list(self, suspicion: _Suspicion) -> None:
        """Wait until the list shows a later process in place of the endpoint."""
        ends_at = suspicion.broken_at + LIST_CHECKS_S
        while suspicion in self._open and trio.current_time() < ends_at:
            if self._is_leaving(suspicion.endpoint):
                return
            successor = self._fleet.endpoints.successor_of(suspicion.endpoint)
            if successor is not None:
                self._conclude(suspicion, CrashEvidence.RESTARTED)
                return
            await trio.sleep(LIST_CHECK_INTERVAL_S)

    def _conclude(self, suspicion: _Suspicion, evidence: CrashEvidence) -> None:
        """Record a crash, unless the endpoint has turned out to leave as planned."""
        endpoint = suspicion.endpoint
        if self._is_path_at_fault(suspicion):
            self._discard(suspicion)
            return
        self._close(suspicion)
        if self._is_leaving(endpoint):
            return
        crash = self._crash_by_incarnation.get(endpoint.incarnation)
        if crash is None:
            crash = EndpointCrash(endpoint, suspicion.broken_at, evidence)
            self._report(crash, len(suspicion.requests))
        if suspicion.broken_at < crash.broken_at - SECOND_PROBE_S:
            return  # the endpoint lived on after these connections broke
        for request in suspicion.requests:
            self._record_death(request, crash)

    def _is_leaving(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint leaves, by the list or by its own word."""
        return is_draining(
            endpoint, self._fleet.endpoints
        ) or self._fleet.holds.is_leaving(endpoint)

    def _report(self, crash: EndpointCrash, requests: int) -> None:
        """Remember and log a crash, once for each incarnation of an endpoint."""
        self._crash_by_incarnation[crash.endpoint.incarnation] = crash
        if len(self._crash_by_incarnation) > MAX_REMEMBERED_CRASHES:
            self._crash_by_incarnation.popitem(last=False)
        ago_s = trio.current_time() - crash.broken_at
        logger.warning(
            "crashes: endpoint crashed",
            extra={
                "endpoint": crash.endpoint.id,
                "born_ms": crash.endpoint.born_ms,
                "evidence": crash.evidence.value,
                "broken_ms_ago": round(ago_s * 1000),
                "requests": requests,
            },
        )

    def _record_death(self, request: _BrokenRequest, crash: EndpointCrash) -> None:
        """Count a crash against a request that was under way."""
        now = trio.current_time()
        context = request.context
        death = EndpointDeath(
            context.fingerprint,
            CrashId(crash.endpoint.id, crash.endpoint.born_ms),
            request.suspects,
            now - crash.broken_at,
        )
        self._fleet.record_death(death, now)
        self._nursery.start_soon(log_unexpected, self._announcer.announce_later)
        deaths = self._fleet.crash_guard.deaths(context.fingerprint, now)
        logger.warning(
            "crashes: endpoint died under a request",
            extra={
                "id": context.request.id,
                "endpoint": crash.endpoint.id,
                "fingerprint": context.fingerprint,
                "deaths": deaths,
                "prompt_parts": logged_parts(context.request),
            },
        )

    def _is_path_at_fault(self, suspicion: _Suspicion) -> bool:
        """Return whether the connections may have broken on the way."""
        address = suspicion.endpoint.address
        since = suspicion.broken_at - PATH_CHECK_S
        return self._fleet.paths.was_cut(address, since)

    def _discard(self, suspicion: _Suspicion) -> None:
        """End a suspicion whose connections have broken on the way."""
        if suspicion not in self._open:
            return
        self._close(suspicion)
        logger.info(
            "crashes: no evidence, the path was cut",
            extra={
                "endpoint": suspicion.endpoint.id,
                "requests": len(suspicion.requests),
            },
        )

    def _send_failures(self, suspicion: _Suspicion) -> None:
        """Tell the others of failures that were withheld until the path was tried."""
        if not suspicion.connection_lost or self._is_path_at_fault(suspicion):
            return
        for _ in suspicion.requests[:MAX_SENT_FAILURES]:
            self._fleet.send_outcome(suspicion.endpoint.id, AttemptOutcome.FAILED)

    def _close(self, suspicion: _Suspicion) -> None:
        if suspicion in self._open:
            self._open.remove(suspicion)


def _is_of_another_endpoint(failure: Exception, endpoint: ListedEndpoint) -> bool:
    """Return whether a refusal shows that another endpoint listens at the address."""
    return (
        isinstance(failure, RefusedError)
        and failure.response_status == MISDIRECTED_REQUEST
        and failure.failed_address in ("", endpoint.address)
    )
