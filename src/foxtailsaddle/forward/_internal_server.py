"""The pages of an instance: readiness, metrics, and what other instances ask for."""

import logging
import typing as t

import trio

from .._client_room import ClientRoom
from ..errors import AddressInUseError
from ._cold_starts import count_cold
from ._data_centre_traffic import DataCentreTraffic
from ._environment import FrontSettings
from ._evacuations import count_evacuated_jobs
from ._fleet import FleetState
from ._metrics import ForwardMetrics
from .connections import Page, serve_pages
from .paths import RelayServer
from .peers import Peers, Snapshot, encode_snapshot
from .store import SNAPSHOT_PATH, StoreSync

logger = logging.getLogger("foxtailsaddle.app")

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
PAGE_SHARES = 16  # of the sockets, for each address of pages
CONTROL_SHARES = 6  # of the sockets, for pages and connections of other instances


class InternalServer:
    """Serves the pages of an instance.

    :param is_ready: whether the load balancer should send requests here.
    """

    def __init__(
        self,
        settings: FrontSettings,
        fleet: FleetState,
        peers: Peers,
        store_sync: StoreSync,
        relay_server: RelayServer,
        metrics: ForwardMetrics,
        traffic: DataCentreTraffic,
        client_room: ClientRoom,
        is_ready: t.Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._peers = peers
        self._store_sync = store_sync
        self._relay_server = relay_server
        self._metrics = metrics
        self._traffic = traffic
        self._client_room = client_room
        self._is_ready = is_ready

    async def run(self) -> None:
        """Serve until cancelled.

        :raises AddressInUseError: another process uses the address of a page that other
            programs need.
        """
        settings = self._settings
        max_connections = settings.max_sockets // PAGE_SHARES
        async with trio.open_nursery() as nursery:
            ready = {READY_PATH: self._ready_page}
            nursery.start_soon(serve_pages, settings.ready, ready, max_connections)
            if settings.control:
                snapshot = {SNAPSHOT_PATH: self._snapshot_page}
                nursery.start_soon(
                    serve_pages,
                    settings.control,
                    snapshot,
                    settings.max_sockets // CONTROL_SHARES,
                    self._relay_server.serve,
                )
            nursery.start_soon(self._serve_metrics, max_connections)

    async def _serve_metrics(self, max_connections: int) -> None:
        address = f"{self._settings.host}:{self._settings.metrics_port}"
        pages = {METRICS_PATH: self._metrics_page}
        try:
            await serve_pages(address, pages, max_connections)
        except AddressInUseError as error:
            logger.error("app: metrics are not served", extra={"why": error.message})

    def _ready_page(self) -> Page:
        return Page(200 if self._is_ready() else 503)

    def _snapshot_page(self) -> Page:
        snapshot = Snapshot(
            self._fleet.configuration_row,
            self._fleet.endpoint_rows,
            self._peers.list_version,
            self._fleet.evacuations.known,
        )
        return Page(200, encode_snapshot(snapshot), b"application/octet-stream")

    def _metrics_page(self) -> Page:
        for name, value in self._gauges().items():
            self._metrics.set(name, value)
        self._traffic.report(self._metrics)
        body, content_type = self._metrics.render()
        return Page(200, body, content_type)

    def _gauges(self) -> dict[str, float]:
        """Return what the instance knows and holds at present, by gauge."""
        fleet, peers, table = self._fleet, self._peers, self._fleet.route_table
        return {
            "configuration_version": table.version if table else 0,
            "live_instances": peers.count_live_instances(),
            "jobs": len(fleet.engine_loads),
            "limited_endpoints": fleet.count_limited(),
            "accounts": fleet.engine_loads.count_accounts(),
            "cold_endpoints": count_cold(fleet),
            "evacuated": len(fleet.evacuations.since_by_data_centre),
            "evacuated_jobs": count_evacuated_jobs(fleet),
            "cut_paths": len(fleet.paths.cut_addresses()),
            "relayed": self._relay_server.open_connections,
            "dropped_updates": peers.outbox.dropped_updates,
            "dropped_datagrams": peers.dropped_datagrams,
            "unsent_datagrams": peers.unsent_datagrams,
            "incomplete_peers": peers.repeats.incomplete_peers,
            "missed_updates": peers.repeats.missed_updates,
            "repeated_updates": peers.repeats.repeated_updates,
            "missed_list_changes": self._store_sync.missed_list_changes,
            "unreadable_entries": len(self._store_sync.list_rows.unreadable_keys),
            **self._client_room.gauges(),
        }
