"""Store, runners and instances in one process, connected over loopback."""

import contextlib
import socket
import typing as t

import trio

from foxtailsaddle import forward, platform
from foxtailsaddle.core import DataCentre, InstanceId

from .cuts import CutKind, InstanceCut, intercepted_sockets, present_cut
from .front_client import HOST, KEY, Client, Reply
from .ports import PortReservation, loopback_network
from .rows import RowStore, store_server
from .runner import Runner

PORTS_PER_INSTANCE = 4  # for clients, readiness, snapshots and metrics
ACCOUNT = "account-1"
ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 232_000,
    "stride": 43,
    "step_ms": 1.02,
    "per_seq_ms": 0.0045,
    "context_per_k": 0.0043,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "hop_ms": 0.075,
}


def configuration(version: int = 1, **changes: t.Any) -> dict[str, t.Any]:
    """Return a configuration with a stream, a safe, an unsafe and a public route.

    :param changes: replace top-level fields.
    """
    common = {"host": HOST, "max_attempts": 2, "timeout_ms": 4000}
    return {
        "version": version,
        "routes": [
            common
            | {
                "name": "stream",
                "prefix": "/stream/",
                "kind": "stream",
                "service": "model",
                "resumable": True,
                "sticky": True,
                "target_latency_ms": 300,
                "target_gap_ms": 250,
            },
            common
            | {
                "name": "safe",
                "prefix": "/safe/",
                "kind": "safe",
                "service": "plain",
                "target_latency_ms": 150,
            },
            common
            | {
                "name": "unsafe",
                "prefix": "/unsafe/",
                "kind": "unsafe",
                "service": "plain",
                "max_attempts": 1,
                "target_latency_ms": 150,
            },
            common
            | {
                "name": "open",
                "prefix": "/open/",
                "kind": "safe",
                "service": "plain",
                "public": True,
                "target_latency_ms": 150,
            },
        ],
        "services": [
            {"name": "model", "max_connections": 100, "engine": ENGINE},
            {"name": "plain", "max_connections": 100},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 3000,
        },
        "tenants": [{"name": ACCOUNT, "api_keys": [KEY], "priority": 1}],
        "a_field_of_tomorrow": {"x": 1},
    } | changes


class FrontWorld:
    """A store, runners and instances into which tests inject faults."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.rows = RowStore()
        self.store = store_server(self.rows, "127.0.0.1")
        self.runners: dict[str, Runner] = {}
        self.apps: list[forward.FrontApplication] = []
        self._scopes: list[trio.CancelScope] = []
        self.cuts: list[InstanceCut] = []
        self._port_reservations: list[PortReservation] = []
        self._counter = 0

    async def start_store(self) -> None:
        """Start the server of the store."""
        await self.nursery.start(self.store.run)

    async def add_runner(self, id: str, service: str, **options: t.Any) -> Runner:
        """Start a runner and write its row to the ``servers`` table."""
        runner = Runner(id, service, host="127.0.0.1", **options)
        await self.nursery.start(runner.server.run)
        self.runners[id] = runner
        self.rows.put("servers", id, runner.entry())
        return runner

    async def restart_runner(self, runner: Runner, pause_s: float) -> None:
        """Start a runner that has ended again, under another id.

        :param pause_s: time until then, in seconds; its former row is listed meanwhile.
        """
        await trio.sleep(pause_s)
        del self.runners[runner.id]
        self.rows.delete("servers", runner.id)
        await runner.restart(self.nursery)
        self.runners[runner.id] = runner
        self.rows.put("servers", runner.id, runner.entry())

    def restart_crashed_runners(self, pause_s: float) -> None:
        """Start each runner that crashes from now on again after a pause."""
        for runner in self.runners.values():
            runner.on_crash = lambda crashed: self.nursery.start_soon(
                self.restart_runner, crashed, pause_s
            )

    async def add_instance(self, **options: t.Any) -> forward.FrontApplication:
        """Start an instance on a loopback address of its own."""
        number = len(self.apps) + 1
        host = f"{loopback_network()}.{number}"
        front_port, ready_port, control_port, metrics_port = self._reserve_ports(host)
        settings = forward.FrontSettings(
            **{
                "instance": InstanceId(f"i{number}"),
                "data_centre": DataCentre("a"),
                "host": host,
                "front": f"{host}:{front_port}",
                "ready": f"{host}:{ready_port}",
                "control": f"{host}:{control_port}",
                "seeds": (),
                "peer_port": self._peer_port(),
                "metrics_port": metrics_port,
                "grace_s": 8.0,
                "retry_ratio": 0.2,
                "retry_window_s": 10.0,
                "retry_slack": 100.0,
                "drain_timeout_s": 2.0,
                "recovery_timeout_s": 3.0,
                "configuration_timeout_s": 2.0,
                "longest_reservation_s": 20.0,
            }
            | options
        )
        app = forward.FrontApplication(
            forward.FrontEnvironment(
                settings=settings,
                header_codec=platform.PlatformHeaderCodec(),
                schema=platform.PlatformSchema(),
                engine_control=platform.HttpEngineControl(forward.KeepAliveHttpClient),
                new_store=lambda: platform.HttpStore(
                    forward.KeepAliveHttpClient(
                        self.store.address, platform.MAX_STORE_RESPONSE_BYTES
                    )
                ),
                log=forward.NullLogWriter(),
                reload=lambda: settings,
                handle_signals=False,
            )
        )
        self.apps.append(app)
        scope = trio.CancelScope()
        self._scopes.append(scope)
        cut = InstanceCut()
        self.cuts.append(cut)
        self.nursery.start_soon(_run, app, scope, cut)
        return app

    def cut_off(
        self,
        app: forward.FrontApplication,
        kind: CutKind,
        runners: t.Iterable[Runner] | None = None,
    ) -> None:
        """Cut an instance off from runners, by default from all."""
        runners = self.runners.values() if runners is None else runners
        addresses = [runner.server.address.rpartition(":") for runner in runners]
        pairs = [(host, int(port)) for host, _, port in addresses]
        self.cuts[self.apps.index(app)].begin(kind, pairs)

    def heal(self, app: forward.FrontApplication) -> None:
        """Let an instance reach all runners again."""
        self.cuts[self.apps.index(app)].heal()

    def kill(self, app: forward.FrontApplication) -> None:
        """Cancel an instance without a shutdown."""
        self._scopes[self.apps.index(app)].cancel()

    async def ready(self, app: forward.FrontApplication, endpoints: int = 0) -> None:
        """Wait until an instance is ready and knows ``endpoints`` endpoints."""
        with trio.fail_after(5):
            while not await self.is_ready(app) or (
                len(list(app.fleet.endpoints.all())) < endpoints
            ):
                await trio.sleep(0.02)

    async def is_ready(self, app: forward.FrontApplication) -> bool:
        """Return the result of the load balancer's readiness check."""
        caller = forward.KeepAliveHttpClient(app.env.settings.ready)
        try:
            reply = await caller.call("GET", "/ready", None, 1.0)
        except Exception:
            return False
        finally:
            await caller.aclose()
        return reply.status == 200

    async def ask(
        self, app: forward.FrontApplication, path: str, **options: t.Any
    ) -> Reply:
        """Send a request over a new connection and return the answer."""
        async with await self.open(app) as client:
            return await client.ask(path, **options)

    async def open(self, app: forward.FrontApplication) -> "Client":
        """Open a client connection to an instance."""
        host, _, port = app.env.settings.front.rpartition(":")
        return Client(await trio.open_tcp_stream(host, int(port)), self)

    def new_id(self) -> str:
        """Return a new request id."""
        self._counter += 1
        return f"{self._counter:016x}"

    def close(self) -> None:
        """Give the ports of all instances back."""
        for reservation in self._port_reservations:
            reservation.close()

    def _reserve_ports(self, host: str) -> list[int]:
        reservation = PortReservation(PORTS_PER_INSTANCE, host)
        self._port_reservations.append(reservation)
        return reservation.ports

    def _peer_port(self) -> int:
        if self.apps:
            return self.apps[0].env.settings.peer_port
        return _free_datagram_port(f"{loopback_network()}.1")


async def _run(
    app: forward.FrontApplication, scope: trio.CancelScope, cut: InstanceCut
) -> None:
    present_cut.set(cut)
    with scope:
        await app.run()


async def _close_at_end(world: FrontWorld) -> None:
    try:
        await trio.sleep_forever()
    finally:
        world.close()


def _free_datagram_port(host: str) -> int:
    """Return a free UDP port of a host that no other process uses."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


@contextlib.asynccontextmanager
async def front_world(
    *, engines: int = 3, plain: int = 2, instances: int = 1, **options: t.Any
) -> t.AsyncIterator[FrontWorld]:
    """Provide a configured store, runners and ready instances.

    :param options: replace settings of each instance.
    """
    with trio.fail_after(30), intercepted_sockets():
        async with trio.open_nursery() as nursery:
            world = FrontWorld(nursery)
            nursery.start_soon(_close_at_end, world)
            await world.start_store()
            world.rows.put("op", "config", configuration())
            for number in range(engines):
                await world.add_runner(f"e{number}", "model", streams=True)
            for number in range(plain):
                await world.add_runner(f"p{number}", "plain")
            for _ in range(instances):
                await world.add_instance(**options)
            for app in world.apps:
                await world.ready(app, engines + plain)
            yield world
            nursery.cancel_scope.cancel()
