"""The application object: starts, serves, drains and stops one instance."""

import dataclasses
import functools
import logging
import random
import signal

import trio

from .._client_room import ClientRoom, client_bytes
from .._tasks import keep_running
from ..core import (
    ConstantDistance,
    Distance,
    RetryWindow,
    ServiceId,
    TrafficDistance,
    TrafficLimits,
)
from ..errors import SettingsError, TooManyConnectionsError
from ._admission import Admission
from ._data_centre_traffic import DataCentreTraffic
from ._environment import RELOADABLE_FIELDS, FrontEnvironment
from ._fleet import FleetState
from ._internal_server import InternalServer
from ._metrics import ForwardMetrics
from .attempts import CrashDetector, JobIdGenerator, PartChecks, record_notice_at
from .connections import ClientConnection, LifecycleStage
from .limits import LimitGate
from .paths import EndpointConnector, RelayServer
from .peers import Peers
from .plain import PlainForwarder
from .store import StoreSync
from .streams import (
    ReportPoller,
    Reservations,
    SlotQueues,
    StreamForwarder,
    StreamPlacer,
)
from .transport import KeepAliveHttpClient, accept, listen

logger = logging.getLogger("foxtailsaddle.app")

ACCEPT_WHILE_DRAINING_S = 2.7  # the load balancer stops sending requests within it
GRACE_MARGIN_S = 0.8
IDLE_POLL_S = 0.1
CLIENT_SHARES = 2  # of the sockets: each request that is served takes two
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
        self.client_room = ClientRoom(
            client_bytes(settings.memory_bytes), settings.max_sockets // CLIENT_SHARES
        )
        self._internal_server = InternalServer(
            settings,
            self.fleet,
            self.peers,
            self.store_sync,
            self.relay_server,
            self.metrics,
            self.traffic,
            self.client_room,
            self._is_ready,
        )
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
            background.start_soon(self._internal_server.run)
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
            await self.client_room.wait_for_connection()
            nursery.start_soon(self._serve, client, admission)

    async def _serve(
        self, client: trio.socket.SocketType, admission: Admission
    ) -> None:
        try:
            connection = ClientConnection(
                client,
                admission,
                self.env.header_codec,
                self._limits,
                self.client_room,
                self._stage,
                self.metrics.record_request,
            )
        except TooManyConnectionsError:
            client.close()
            return
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception:
            logger.exception("app: unexpected error while serving a connection")
        finally:
            self._connections.discard(connection)

    def _is_ready(self) -> bool:
        return not self._draining.is_set() and self.fleet.route_table is not None

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
