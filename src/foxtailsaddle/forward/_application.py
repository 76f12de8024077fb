"""The application object: starts, serves, drains and stops one instance."""

import dataclasses
import functools
import logging
import random
import signal

import trio

from .._tasks import keep_running
from ..core import (
    ConstantDistance,
    Distance,
    RetryWindow,
    ServiceId,
    TrafficDistance,
    TrafficLimits,
)
from ..errors import AddressInUseError, SettingsError
from ._admission import Admission
from ._cold_starts import count_cold
from ._data_centre_traffic import DataCentreTraffic
from ._environment import RELOADABLE_FIELDS, FrontEnvironment
from ._evacuations import count_evacuated_jobs
from ._fleet import FleetState
from ._metrics import ForwardMetrics
from .attempts import CrashDetector, JobIdGenerator, PartChecks, record_notice_at
from .connections import ClientConnection, LifecycleStage, Page, serve_pages
from .limits import LimitGate
from .paths import EndpointConnector, RelayServer
from .peers import Peers, Snapshot, encode_snapshot
from .plain import PlainForwarder
from .store import SNAPSHOT_PATH, StoreSync
from .streams import (
    ReportPoller,
    Reservations,
    SlotQueues,
    StreamForwarder,
    StreamPlacer,
)
from .transport import KeepAliveHttpClient, accept, listen

logger = logging.getLogger("foxtailsaddle.app")

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
ACCEPT_WHILE_DRAINING_S = 2.7  # the load balancer stops sending requests within it
GRACE_MARGIN_S = 0.8
IDLE_POLL_S = 0.1
STOP_CONNECTIONS_S = 0.3
STOP_POLL_S = 0.01


class FrontApplication:
    """One instance, which forwards requests from clients to endpoints.

    ``run`` is its whole lifecycle: start, serve, drain on SIGTERM, stop.
    """

    def __init__(self, env: FrontEnvironment) -> None:
        settings = env.settings
        self.env = env
        self._settings = settings
        self._retries = RetryWindow(
            settings.retry_ratio, settings.retry_window_s, settings.retry_slack
        )
        self.fleet = FleetState(
            settings.instance,
            self._retries,
            settings.configuration_timeout_s,
            settings.recovery_timeout_s,
            settings.cold_overshoot is not None,
        )
        self.peers = Peers(
            self.fleet,
            settings.control,
            settings.host,
            settings.peer_port,
            settings.data_centre,
        )
        self.fleet.notifier = self.peers.outbox
        self.connector = EndpointConnector(self.fleet, self.peers, settings.data_centre)
        self.fleet.connect = self.connector.connect
        self.traffic = DataCentreTraffic()
        self._distance = self._new_distance()
        self.relay_server = RelayServer(self.fleet, self.peers)
        self.fleet.count_live_instances = self.peers.count_live_instances
        self.fleet.announces_calls = lambda: not self.peers.is_large_fleet
        self.store_sync = StoreSync(
            self.fleet,
            self.peers,
            env.schema,
            env.new_store,
            settings.host,
            settings.drain_timeout_s,
            settings.recovery_timeout_s,
        )
        env.engine_control.client_for = functools.partial(
            KeepAliveHttpClient, connect=self.connector.connect
        )
        env.engine_control.on_notice = functools.partial(record_notice_at, self.fleet)
        self.report_poller = ReportPoller(self.fleet, self.peers, env.engine_control)
        self.metrics = ForwardMetrics()
        self._connections: set[ClientConnection] = set()
        self._draining = trio.Event()
        self._accepts_requests = True
        self._listener: trio.socket.SocketType | None = None

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests in flight."""
        logger.info("app: starting", extra={"front": self.env.settings.front})
        async with trio.open_nursery() as background:
            background.start_soon(self.env.log.run)
            if self.env.handle_signals:
                background.start_soon(self._handle_signals)
            background.start_soon(keep_running, self.peers.run)
            self._add_seeds()
            background.start_soon(keep_running, self.store_sync.run)
            background.start_soon(keep_running, self.report_poller.run)
            background.start_soon(keep_running, self.connector.run)
            background.start_soon(self._serve_internal_pages)
            async with trio.open_nursery() as clients:
                clients.start_soon(
                    self._accept, clients, self._build_admission(background)
                )
                await self._draining.wait()
                await self._drain()
                clients.cancel_scope.cancel()
            background.cancel_scope.cancel()
        logger.info("app: stopped")
        self.env.log.flush_available()

    def drain(self) -> None:
        """Begin a graceful shutdown.

        The readiness check fails from now on, and requests in flight are finished.
        """
        logger.info("app: draining")
        self._draining.set()

    def reload(self) -> None:
        """Read the settings again and apply those that need no restart."""
        try:
            settings = self.env.reload()
        except SettingsError as error:
            logger.error("app: settings not reloaded", extra={"why": error.message})
            return
        changed = {
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        }
        self._settings = settings
        self._retries.configure(
            settings.retry_ratio, settings.retry_window_s, settings.retry_slack
        )
        self._add_seeds()
        logger.info(
            "app: reloaded",
            extra={
                "changed": sorted(changed & RELOADABLE_FIELDS),
                "needs_restart": sorted(changed - RELOADABLE_FIELDS),
            },
        )

    def _build_admission(self, background: trio.Nursery) -> Admission:
        settings = self.env.settings
        job_ids = JobIdGenerator(random.SystemRandom().getrandbits(32))
        header_codec = self.env.header_codec
        crash_detector = CrashDetector(self.fleet, background)
        limit_gate = LimitGate(
            self.fleet, self.peers, settings.cold_overshoot or 1.0, settings.cold_slack
        )
        reservations = Reservations(
            self.fleet,
            self.env.engine_control,
            limit_gate,
            background,
            settings.longest_reservation_s,
        )
        part_checks = PartChecks(self.fleet)
        placer = StreamPlacer(self.fleet, self._distance)
        slot_queues = SlotQueues(
            placer, background, settings.shares_room, self._most_urgent
        )
        return Admission(
            self.fleet,
            StreamForwarder(
                self.fleet,
                header_codec,
                placer,
                slot_queues,
                job_ids,
                reservations,
                crash_detector,
                part_checks,
                limit_gate,
                self.traffic,
            ),
            PlainForwarder(
                self.fleet,
                header_codec,
                self._distance,
                job_ids,
                crash_detector,
                limit_gate,
                self.traffic,
            ),
            part_checks,
        )

    def _new_distance(self) -> Distance:
        home = self._settings.data_centre
        if not self._settings.weighs_distance:
            return ConstantDistance(home)
        distance = TrafficDistance(home)

        def record_connection(address: str, taken_s: float) -> None:
            entry = self.fleet.endpoints.at_address(address)
            if entry is not None:
                now = trio.current_time()
                distance.record_connection(entry.data_centre, taken_s, now)

        self.connector.on_connected = record_connection
        return distance

    def _most_urgent(self, service: ServiceId) -> int:
        table = self.fleet.route_table
        return table.most_urgent(service) if table is not None else 0

    def _add_seeds(self) -> None:
        for seed in self._settings.seeds:
            self.peers.add_seed(seed.rpartition(":")[0])

    async def _handle_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                else:
                    self.drain()

    async def _accept(self, nursery: trio.Nursery, admission: Admission) -> None:
        sock = self._listener = await listen(self.env.settings.front)
        logger.info("app: listening")
        while True:
            try:
                client = await accept(sock)
            except (OSError, trio.ClosedResourceError):
                if sock.fileno() < 0:
                    return
                raise
            nursery.start_soon(self._serve, client, admission)

    async def _serve(
        self, client: trio.socket.SocketType, admission: Admission
    ) -> None:
        connection = ClientConnection(
            client,
            admission,
            self.env.header_codec,
            self._limits,
            self._stage,
            self.metrics.record_request,
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception:
            logger.exception("app: unexpected error while serving a connection")
        finally:
            self._connections.discard(connection)

    def _stage(self) -> LifecycleStage:
        if not self._accepts_requests:
            return LifecycleStage.STOPPING
        return (
            LifecycleStage.DRAINING
            if self._draining.is_set()
            else LifecycleStage.SERVING
        )

    def _limits(self) -> TrafficLimits:
        return self.fleet.limits.at(trio.current_time())

    async def _drain(self) -> None:
        """Wait until no request is in flight or the grace period is nearly over.

        The settings may be reloaded meanwhile.
        """
        self.peers.announce_leaving()
        began_at = trio.current_time()
        stops_at = began_at + ACCEPT_WHILE_DRAINING_S
        while trio.current_time() < self._drain_ends_at(began_at):
            self._accepts_requests = trio.current_time() < stops_at
            if not self._accepts_requests and self._is_idle():
                break
            await trio.sleep(IDLE_POLL_S)
        self._accepts_requests = False
        await self._stop_connections()

    def _drain_ends_at(self, began_at: float) -> float:
        return began_at + self._settings.grace_s - GRACE_MARGIN_S

    def _is_idle(self) -> bool:
        """Return whether no connection waits to be accepted or has a request.

        Connections that are passed on for other instances count as requests.
        """
        if self.relay_server.open_connections:
            return False
        return not self._has_waiting_connection() and all(
            connection.is_idle for connection in self._connections
        )

    def _has_waiting_connection(self) -> bool:
        return (
            self._listener is not None
            and self._listener.fileno() >= 0
            and self._listener.is_readable()
        )

    async def _stop_connections(self) -> None:
        """End the open connections in an orderly way, and accept no others.

        The listener is closed when no connection waits for it.
        """
        with trio.move_on_after(STOP_CONNECTIONS_S):
            while True:
                if self._listener is not None and not self._has_waiting_connection():
                    self._listener.close()
                for connection in self._connections:
                    connection.stop()
                await trio.sleep(STOP_POLL_S)
                if not self._connections and not self._has_waiting_connection():
                    return

    async def _serve_internal_pages(self) -> None:
        settings = self.env.settings
        async with trio.open_nursery() as nursery:
            ready = {READY_PATH: self._ready_page}
            nursery.start_soon(serve_pages, settings.ready, ready)
            if settings.control:
                snapshot = {SNAPSHOT_PATH: self._snapshot_page}
                nursery.start_soon(
                    serve_pages, settings.control, snapshot, self.relay_server.serve
                )
            nursery.start_soon(self._serve_metrics)

    async def _serve_metrics(self) -> None:
        address = f"{self.env.settings.host}:{self.env.settings.metrics_port}"
        try:
            await serve_pages(address, {METRICS_PATH: self._metrics_page})
        except AddressInUseError as error:
            logger.error("app: metrics are not served", extra={"why": error.message})

    def _ready_page(self) -> Page:
        if self._draining.is_set() or self.fleet.route_table is None:
            return Page(503)
        return Page(200)

    def _snapshot_page(self) -> Page:
        snapshot = Snapshot(
            self.fleet.configuration_row,
            self.fleet.endpoint_rows,
            self.peers.list_version,
            self.fleet.evacuations.known,
        )
        return Page(200, encode_snapshot(snapshot), b"application/octet-stream")

    def _metrics_page(self) -> Page:
        table = self.fleet.route_table
        self.metrics.set("configuration_version", table.version if table else 0)
        self.metrics.set("live_instances", self.peers.count_live_instances())
        self.metrics.set("jobs", len(self.fleet.engine_loads))
        self.metrics.set("connections", len(self._connections))
        self.metrics.set("limited_endpoints", self.fleet.count_limited())
        self.metrics.set("accounts", self.fleet.engine_loads.count_accounts())
        self.metrics.set("cold_endpoints", count_cold(self.fleet))
        evacuations = self.fleet.evacuations
        self.metrics.set("evacuated", len(evacuations.since_by_data_centre))
        self.metrics.set("evacuated_jobs", count_evacuated_jobs(self.fleet))
        self.traffic.report(self.metrics)
        self.metrics.set("cut_paths", len(self.fleet.paths.cut_addresses()))
        self.metrics.set("relayed", self.relay_server.open_connections)
        self.metrics.set("dropped_updates", self.peers.outbox.dropped_updates)
        self.metrics.set("dropped_datagrams", self.peers.dropped_datagrams)
        self.metrics.set("unsent_datagrams", self.peers.unsent_datagrams)
        missed = self.store_sync.missed_list_changes
        self.metrics.set("missed_list_changes", missed)
        unreadable = self.store_sync.list_rows.unreadable_keys
        self.metrics.set("unreadable_entries", len(unreadable))
        body, content_type = self.metrics.render()
        return Page(200, body, content_type)
