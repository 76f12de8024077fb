"""This instance's view of the configuration, the endpoints and their load."""

import hashlib
import logging
import random
import typing as t

import trio

from ..core import (
    NO_SERVICE,
    AttemptOutcome,
    CellSet,
    ColdStarts,
    CrashGuard,
    EndpointDeath,
    EndpointHealth,
    EndpointHolds,
    EndpointId,
    EndpointLimits,
    EndpointList,
    EndpointPaths,
    EngineLoadTracker,
    Evacuations,
    InstanceId,
    Job,
    JobId,
    LimitOverlap,
    ListedEndpoint,
    NamedLimit,
    PromptPartGuard,
    PromptPartId,
    RefusalReply,
    RefusedPart,
    RequestLimits,
    RetryWindow,
    RouteTable,
    ServiceId,
    cell_count,
    cells_of_engine,
)
from .transport import Connect, connect

logger = logging.getLogger("foxtailsaddle.crashes")
limits_logger = logging.getLogger("foxtailsaddle.limits")

FINGERPRINT_BYTES = 12
DEATH_MEMORY_S = 120.0  # for which an endpoint's crash counts against a request
MAX_DEATHS = 3  # two may be coincidence while responses get lost
NO_JOB = JobId(0)
MAX_OBJECTIONS = 8  # to one datagram with a refusal, of all instances
CLIENT_DELAY_S = 1.0  # until a client goes by a configuration that is in force


class PeerNotifier(t.Protocol):
    """Sends updates about this instance's work to the other instances."""

    def notify_placed(self, job: Job, decode_ms: float) -> None:
        """Send that a job was placed at an endpoint."""

    def notify_began(self, job: JobId) -> None:
        """Send that the first event of a job has arrived."""

    def notify_ended(
        self, job: JobId, endpoint: EndpointId, outcome: AttemptOutcome
    ) -> None:
        """Send that a job has ended."""

    def notify_slowdown(self, endpoint: EndpointId, slowdown: float) -> None:
        """Send how many times slower than published an endpoint is."""

    def notify_death(self, death: EndpointDeath) -> None:
        """Send that an endpoint crashed while it ran a request."""

    def notify_part_refused(self, refused: RefusedPart) -> None:
        """Send that requests with a part of prompts are refused."""

    def notify_parts_cleared(
        self,
        parts: tuple[PromptPartId, ...],
        age_s: float = 0.0,
        fingerprint: str = "",
    ) -> None:
        """Send that parts which were suspected ran successfully some time ago."""

    def notify_limit(self, limit: NamedLimit) -> None:
        """Send what an endpoint says of its limit."""

    def notify_part_trial(self, parts: tuple[PromptPartId, ...], for_s: float) -> None:
        """Send that this instance tries suspected parts with one request."""


class FleetState:
    """This instance's view of the configuration, the endpoints and their load.

    Methods for changes that this instance causes both record the change and send it
    to the other instances, so that all instances keep the same view.

    :param configuration_timeout_s: seconds within which a configuration must be in
        force everywhere.
    :ivar route_table: the configuration in force; ``None`` before the first one.
    :ivar configuration_row: the configuration as it is stored.
    :ivar limits: the limits on clients that hold at present.
    :ivar endpoint_rows: entries of the list of endpoints as they are stored, by key.
    :ivar engine_loads: jobs of all instances, by engine.
    :ivar count_live_instances: returns the number of live instances.
    :ivar announces_calls: returns whether other instances are told of each plain call.
    :ivar connect: opens connections to endpoints.
    :ivar notifier: sends updates to the other instances; set before the first job.
    """

    def __init__(
        self,
        instance: InstanceId,
        retries: RetryWindow,
        configuration_timeout_s: float = 2.0,
        restore_grace_s: float = 0.0,
        bounds_cold_starts: bool = False,
    ) -> None:
        self._bounds_cold_starts = bounds_cold_starts
        self.instance = instance
        self.route_table: RouteTable | None = None
        self.configuration_row = b""
        self.limits = LimitOverlap(configuration_timeout_s + CLIENT_DELAY_S)
        self.endpoint_rows: dict[str, bytes] = {}
        self.endpoints = EndpointList()
        self.engine_loads = EngineLoadTracker(self._service_of)
        self.health = EndpointHealth()
        self.holds = EndpointHolds()
        self.endpoint_limits = EndpointLimits()
        self.cold_starts = ColdStarts()
        self.request_limits = RequestLimits(self.endpoint_limits, self.cold_starts)
        self.evacuations = Evacuations(restore_grace_s)
        self.paths = EndpointPaths()
        self.connect: Connect = connect
        self.crash_guard = CrashGuard(DEATH_MEMORY_S, MAX_DEATHS)
        self.part_guard = PromptPartGuard()
        self.retries = retries
        self.count_live_instances: t.Callable[[], int] = lambda: 1
        self.announces_calls: t.Callable[[], bool] = lambda: True
        self.notifier: PeerNotifier | None = None

    def apply_configuration(self, table: RouteTable, row: bytes, now: float) -> None:
        """Put a configuration in force.

        :param row: the configuration as it is stored.
        """
        self.route_table = table
        self.configuration_row = row
        self.limits.replace(table.limits, now)
        if self._bounds_cold_starts:
            self.cold_starts.spec_by_service = {
                service.id: service.cold_start
                for service in table.service_by_id.values()
                if service.cold_start is not None
            }

    def available(self, service: ServiceId, now: float) -> t.Sequence[ListedEndpoint]:
        """Return the endpoints of a service that this instance may send requests to."""
        return self.eligible(self.endpoints.usable(service), now)

    def configured_endpoints(self) -> list[ListedEndpoint]:
        """Return the listed endpoints of all services that the configuration names.

        Others may be listed too; nothing is sent to these.
        """
        table = self.route_table
        services = table.service_by_id if table is not None else ()
        return [entry for entry in self.endpoints.all() if entry.service in services]

    def _service_of(self, endpoint: EndpointId) -> ServiceId:
        entry = self.endpoints.get(endpoint)
        return entry.service if entry is not None else NO_SERVICE

    def eligible(
        self, entries: t.Sequence[ListedEndpoint], now: float
    ) -> t.Sequence[ListedEndpoint]:
        """Return the entries of endpoints that may get something new.

        Left out are those that ask to be left alone and evacuated data centres.
        """
        return self.evacuations.available(self.holds.available(entries, now))

    def is_eligible(self, entry: ListedEndpoint, now: float) -> bool:
        """Return whether an endpoint may get something new."""
        is_evacuated = self.evacuations.is_evacuated(entry.data_centre)
        return not (is_evacuated or self.holds.is_held(entry, now))

    def forget_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Forget an endpoint that is no longer listed."""
        self.engine_loads.forget(endpoint, now)
        self.health.forget(endpoint)
        self.holds.forget_unknown_start(endpoint)
        self.endpoint_limits.forget(endpoint)
        self.cold_starts.forget(endpoint)
        self.request_limits.forget(endpoint)

    # Cells of a large service.

    def count_cells(self, service: ServiceId) -> int:
        """Return the number of cells into which a service's engines are split."""
        return cell_count(len(self.endpoints.usable(service)))

    def cells_of_job(self, job: Job) -> CellSet | None:
        """Return the cells whose instances may use an engine of a job.

        ``None`` means that all instances may.
        """
        entry = self.endpoints.get(job.endpoint)
        count = self.count_cells(entry.service) if entry is not None else 1
        if count == 1:
            return None
        cells = (cells_of_engine(engine, count) for engine in job.engines)
        return CellSet(count, frozenset().union(*cells))

    def place(
        self, job: Job, decode_ms: float, now: float, is_announced: bool = True
    ) -> None:
        """Record a job of this instance, and send it if it is to be announced.

        :param decode_ms: expected time from the first event to the last, in
            milliseconds.
        """
        self.engine_loads.place(job, decode_ms, now)
        if is_announced:
            self.notifier.notify_placed(job, decode_ms)

    def begin(self, job: JobId, now: float) -> None:
        """Record that the first event of a job of this instance has arrived.

        It is sent only if it arrives at another time than predicted, since the other
        instances assume the predicted time.
        """
        known_job = self.engine_loads.get(job)
        is_unexpected = known_job is not None and not known_job.matches_prediction(now)
        self.engine_loads.begin(job, now)
        if is_unexpected:
            self.notifier.notify_began(job)

    def end(
        self,
        job: JobId,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        now: float,
        is_announced: bool = True,
        is_withheld: bool = False,
    ) -> None:
        """Record and send that a job of this instance has ended.

        Of a job that was not announced, only a failure is sent.

        :param endpoint: the endpoint that the outcome is counted for.
        :param is_withheld: the outcome is not sent, since the path may be at fault.
        """
        self.apply_end(job, endpoint, outcome, now)
        sent_outcome = AttemptOutcome.NEUTRAL if is_withheld else outcome
        if is_announced:
            self.notifier.notify_ended(job, endpoint, sent_outcome)
        elif sent_outcome in (AttemptOutcome.FAILED, AttemptOutcome.UNREACHABLE):
            self.notifier.notify_ended(NO_JOB, endpoint, sent_outcome)

    def send_outcome(self, endpoint: EndpointId, outcome: AttemptOutcome) -> None:
        """Send an outcome that was withheld."""
        self.notifier.notify_ended(NO_JOB, endpoint, outcome)

    def apply_end(
        self,
        job: JobId,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Record that a job of any instance has ended."""
        ended = self.engine_loads.end(job, now)
        self.health.record_outcome(endpoint, outcome, now)
        if ended is not None:
            self.health.record_shared_prefill(ended.engines, outcome, now)

    def record_outcome(
        self, endpoint: EndpointId, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record and send an outcome that this instance saw without running a job.

        It is not sent while the path to the endpoint may be at fault.
        """
        self.health.record_outcome(endpoint, outcome, now)
        if outcome is AttemptOutcome.SILENT and not self.is_own_view_sound(
            endpoint, now
        ):
            return
        self.notifier.notify_ended(NO_JOB, endpoint, outcome)

    def is_own_view_sound(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether a failure that this instance sees is the endpoint's own."""
        entry = self.endpoints.get(endpoint)
        return entry is not None and self.paths.is_own_view_sound(entry.address, now)

    def record_slowdown(
        self, endpoint: EndpointId, slowdown: float, now: float
    ) -> None:
        """Record and send how many times slower than published an endpoint is."""
        self.health.record_slowdown(endpoint, slowdown, now)
        self.notifier.notify_slowdown(endpoint, slowdown)

    def record_death(self, death: EndpointDeath, now: float) -> None:
        """Record and send that an endpoint crashed during this instance's request."""
        self.apply_death(death, now)
        self.notifier.notify_death(death)

    def apply_death(self, death: EndpointDeath, now: float) -> None:
        """Record that an endpoint crashed during a request of any instance."""
        crash = death.crash
        left_s = DEATH_MEMORY_S - max(0.0, death.age_s)
        self.crash_guard.record_death(death.fingerprint, crash, now, left_s)
        if death.suspects:
            self.part_guard.record_crash(crash, death.suspects, now, death.age_s)

    def take_over_refusal(self, refused: RefusedPart, now: float) -> None:
        """Refuse a part of prompts that another instance refuses."""
        reply = self.part_guard.refuse(refused, now)
        if reply is RefusalReply.ACCEPTED:
            logger.info(
                "crashes: part refused by another instance",
                extra={"part": refused.part, "for_s": round(refused.remaining_s)},
            )
        elif reply is RefusalReply.DISPUTED and self._may_object():
            parts = (refused.part,)
            age_s = self.part_guard.success_age_s(parts, now)
            self.notifier.notify_parts_cleared(parts, age_s)
            logger.info(
                "crashes: refusal of another instance disputed",
                extra={"part": refused.part},
            )

    def record_success(
        self, fingerprint: str, parts: tuple[PromptPartId, ...], now: float
    ) -> None:
        """Record that a request of this instance with these parts ran successfully.

        It is sent only if that clears it or one of them of a suspicion.
        """
        clears_request = self.crash_guard.clear(fingerprint)
        if self.part_guard.record_success(parts, now) or clears_request:
            self.notifier.notify_parts_cleared(parts, fingerprint=fingerprint)

    def apply_success(
        self,
        fingerprint: str,
        parts: tuple[PromptPartId, ...],
        age_s: float,
        now: float,
    ) -> None:
        """Record that a request of another instance ran successfully."""
        self.crash_guard.clear(fingerprint)
        self.part_guard.record_success(parts, now, age_s)

    def _may_object(self) -> bool:
        """Return whether this instance objects, of all that could."""
        return random.random() < MAX_OBJECTIONS / self.count_live_instances()

    def claim_part_trial(
        self, parts: tuple[PromptPartId, ...], for_s: float, now: float
    ) -> None:
        """Reserve the trial of suspected parts for one request of this instance."""
        self.part_guard.claim_trial(parts, for_s, now)
        self.notifier.notify_part_trial(parts, for_s)

    def record_limit(self, limit: NamedLimit) -> bool:
        """Record and send an endpoint's limit; return whether it has changed."""
        has_changed = self.endpoint_limits.record(limit)
        if has_changed:
            self.notifier.notify_limit(limit)
        return has_changed

    def listed_limits(self) -> list[NamedLimit]:
        """Return what listed endpoints said that have named a limit."""
        limits = self.endpoint_limits.known()
        return [limit for limit in limits if limit.endpoint in self.endpoints]

    def count_limited(self) -> int:
        """Return the number of endpoints with a limit at present."""
        limit_of, now = self.request_limits.limit_of, trio.current_time()
        return sum(limit_of(entry, now) is not None for entry in self.endpoints.all())

    def take_over_limit(self, limit: NamedLimit) -> None:
        """Record what an endpoint said of its limit to another instance."""
        if self.endpoint_limits.record(limit):
            limits_logger.info(
                "limits: limit heard from another instance",
                extra={"endpoint": limit.endpoint, "per_s": limit.per_s},
            )

    def may_retry(self, service: t.Any, now: float) -> bool:
        """Take one retry out of the shared budget; false if it is used up."""
        return self.retries.take(service, now, self.count_live_instances())


def fingerprint(account: str, target: str, body: bytes) -> str:
    """Return the digest that a request shares with its repetitions."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (account.encode(), target.encode("latin-1"), body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
