"""Simulates a whole fleet in one process and in virtual time."""

import dataclasses
import random
import typing as t

import trio
import trio._core._run as trio_run
import trio.testing
from opentelemetry import trace

from foxtailsaddle import adapters
from foxtailsaddle.app import Application, Environment, new_incarnation
from foxtailsaddle.core import InstanceSettings, Tree

from .caller import Caller
from .engine import EngineApp
from .engine_model import EngineModel
from .fleet import CALLER_KEY, DATA_CENTRES, OPERATOR_KEY, sha256
from .memory import Host, MemoryHttpClient, MemoryPeerLinks, Network, VirtualClock
from .plain import PlainApp, PlainModel
from .platform import PlatformApp, PlatformModel

PLATFORM_ADDRESS = "10.0.0.1:80"
PORT_CALLERS, PORT_PEERS, PORT_OPERATORS = 80, 81, 82
SETTLE_S = 3.0

Scenario = t.Callable[["World"], t.Awaitable[None]]


@dataclasses.dataclass
class _RunningInstance:
    application: Application
    client: MemoryHttpClient
    scope: trio.CancelScope


class World:
    """A platform, instances, engines and plain services on one in-memory network.

    :param instances: number of entry instances, named ``i1`` and so on.
    :param engines: number of engines, named ``e1`` and so on.
    :param plain_services: number of plain services, named ``p1`` and so on.
    :param seed: seed of every random choice.
    :param tree: replaces parts of the settings tree.
    :param instance: replaces settings of each instance.
    :param latency_s: one-way latency of the network, in seconds.
    :param capacity_tokens: size of the KV cache of each engine, in tokens.
    :param checks_orders: whether engines refuse orders with an outdated fencing
        number.
    :ivar replaced_models: models of engines and plain services that were restarted.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        instances: int = 3,
        engines: int = 4,
        plain_services: int = 1,
        seed: int = 1,
        tree: dict[str, t.Any] | None = None,
        instance: dict[str, t.Any] | None = None,
        latency_s: float = 0.0005,
        capacity_tokens: int = 400_000,
        checks_orders: bool = True,
    ) -> None:
        self._nursery = nursery
        self._random = random.Random(seed)
        self._instance_overrides = instance or {}
        self._capacity_tokens = capacity_tokens
        self._checks_orders = checks_orders
        self.network = Network(latency_s)
        self.platform = PlatformModel()
        self.engine_by_name: dict[str, EngineModel] = {}
        self.plain_by_name: dict[str, PlainModel] = {}
        self.replaced_models: list[EngineModel | PlainModel] = []
        self._running_by_name: dict[str, _RunningInstance] = {}
        self._scope_by_name: dict[str, trio.CancelScope] = {}
        self._instance_names = [f"i{number + 1}" for number in range(instances)]
        self.engine_names = [f"e{number + 1}" for number in range(engines)]
        self.plain_names = [f"p{number + 1}" for number in range(plain_services)]
        self.tree = self._tree(tree or {})

    async def start(self) -> None:
        """Start everything and wait until the instances have found each other."""
        self._add_host(
            PLATFORM_ADDRESS, PlatformApp(self.platform).asgi(), self._nursery
        )
        for name in self.engine_names:
            self.start_engine(name)
        for name in self.plain_names:
            self.start_plain(name)
        for name in self._instance_names:
            self.start_instance(name)
        await trio.sleep(SETTLE_S)

    @property
    def instances(self) -> list[str]:
        """Names of the running instances."""
        return list(self._running_by_name)

    def app(self, name: str) -> Application:
        """Return the application of a running instance."""
        return self._running_by_name[name].application

    def start_engine(self, name: str) -> None:
        """Start an engine, or restart it with an empty KV cache."""
        incarnation = f"{trio.current_time():012.3f}"
        model = EngineModel(
            incarnation,
            lambda: self.kill(name),
            self._capacity_tokens,
            checks_orders=self._checks_orders,
        )
        if name in self.engine_by_name:
            self.replaced_models.append(self.engine_by_name[name])
        self.engine_by_name[name] = model
        app = EngineApp(model).asgi()
        self._nursery.start_soon(self._run_host, name, app, model.run)

    def start_plain(self, name: str) -> None:
        """Start or restart a plain service; past calls stay in ``replaced_models``."""
        incarnation = f"{trio.current_time():012.3f}"
        model = PlainModel(incarnation, lambda: self.kill(name))
        if name in self.plain_by_name:
            self.replaced_models.append(self.plain_by_name[name])
        self.plain_by_name[name] = model
        app = PlainApp(model).asgi()
        self._nursery.start_soon(self._run_host, name, app, trio.sleep_forever)

    def start_instance(self, name: str, platform: bool = True) -> None:
        """Start an entry instance."""
        settings = InstanceSettings.model_validate(self._instance_settings(name))
        client = MemoryHttpClient(self.network, name)
        clock = VirtualClock()
        rng = random.Random(self._random.getrandbits(32))
        env = Environment(
            settings=settings,
            incarnation=new_incarnation(clock.wall_ms(), rng),
            clock=clock,
            platform=adapters.HttpPlatform(client, f"http://{PLATFORM_ADDRESS}"),
            models=adapters.HttpModelEndpoints(client),
            plain=adapters.HttpPlainEndpoints(client),
            links=MemoryPeerLinks(self.network, name, str(settings.peers)),
            web=None,
            operator_web=None,
            metrics=adapters.Metrics(),
            tracer=trace.NoOpTracer(),
            random=rng,
        )
        application = Application(env, self.tree)
        scope = trio.CancelScope()
        self._running_by_name[name] = _RunningInstance(application, client, scope)
        self._nursery.start_soon(self._run_instance, name, application, scope)

    def kill(self, name: str) -> None:
        """Kill an instance, engine or plain service without a shutdown."""
        running = self._running_by_name.pop(name, None)
        if running is not None:
            running.client.alive = False
            running.scope.cancel()
            return
        self.network.host_by_address[self.address(name)].listening = False
        self._scope_by_name[name].cancel()

    def address(self, name: str, port: int = PORT_CALLERS) -> str:
        """Return the address of an instance, engine or plain service by name."""
        subnet = {"i": 1, "e": 2, "p": 3}[name[0]]
        return f"10.0.{subnet}.{name[1:]}:{port}"

    def url(self, name: str, port: int = PORT_CALLERS) -> str:
        """Return the URL of an instance, engine or plain service by name."""
        return f"http://{self.address(name, port)}"

    def cut_off_instance(self, name: str, platform: bool = True) -> None:
        """Cut the links of an instance to its peers and optionally the platform."""
        others = [
            self.address(other, PORT_PEERS)
            for other in self._instance_names
            if other != name
        ]
        self.network.cut_off(self.address(name, PORT_PEERS), others)
        if platform:
            self.network.cut_off(name, [PLATFORM_ADDRESS])

    def caller(self, key: str = CALLER_KEY) -> Caller:
        """Return a client with an API key."""
        return Caller(MemoryHttpClient(self.network, "caller"), key)

    def operator(self, name: str) -> adapters.OperatorClient:
        """Return a client of the operator API of an instance."""
        client = MemoryHttpClient(self.network, "operator")
        url = self.url(name, PORT_OPERATORS)
        return adapters.OperatorClient(client, url, OPERATOR_KEY)

    async def _run_host(
        self, name: str, app: t.Any, task: t.Callable[[], t.Awaitable[None]]
    ) -> None:
        with trio.CancelScope() as scope:
            self._scope_by_name[name] = scope
            async with trio.open_nursery() as nursery:
                self._add_host(self.address(name), app, nursery)
                await task()

    async def _run_instance(
        self, name: str, application: Application, scope: trio.CancelScope
    ) -> None:
        """Run an instance without sockets; the network calls its ASGI applications."""
        with scope:
            async with trio.open_nursery() as background:
                await application.start(background)
                async with trio.open_nursery() as requests:
                    callers = application.caller_api.asgi()
                    operators = application.operator_api.asgi()
                    self._add_host(self.address(name), callers, requests)
                    operators_address = self.address(name, PORT_OPERATORS)
                    self._add_host(operators_address, operators, requests)
                    try:
                        await application.wait_until_drained()
                    finally:
                        for port in (PORT_CALLERS, PORT_OPERATORS):
                            address = self.address(name, port)
                            self.network.host_by_address[address].listening = False
                await application.stop()
                background.cancel_scope.cancel()
        running = self._running_by_name.get(name)
        if running is not None and running.application is application:
            del self._running_by_name[name]

    def _add_host(self, address: str, app: t.Any, nursery: trio.Nursery) -> None:
        self.network.host_by_address[address] = Host(app, nursery)

    def _instance_settings(self, name: str) -> dict[str, t.Any]:
        number = self._instance_names.index(name) if name in self._instance_names else 0
        host = f"10.0.1.{name[1:]}"
        return {
            "id": name,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "callers": {"host": host, "port": PORT_CALLERS},
            "operators": {"host": host, "port": PORT_OPERATORS},
            "peers": {"host": host, "port": PORT_PEERS},
            "platform_url": f"http://{PLATFORM_ADDRESS}",
            "operator_key_sha256": {"op": sha256(OPERATOR_KEY)},
            "seed_peers": [
                {"host": f"10.0.1.{other[1:]}", "port": PORT_PEERS}
                for other in self._instance_names
                if other != name
            ],
            **self._instance_overrides,
        }

    def _tree(self, overrides: dict[str, t.Any]) -> dict[str, t.Any]:
        tree = {
            "services": {
                "drafts": {
                    "kind": "model",
                    "endpoints": {
                        name: {
                            "url": self.url(name),
                            "capacity_tokens": self._capacity_tokens,
                        }
                        for name in self.engine_names
                    },
                },
                "register": {
                    "kind": "plain",
                    "repeatable": False,
                    "endpoints": {
                        name: {"url": self.url(name)} for name in self.plain_names
                    },
                },
            },
            "accounts": {"inspector": {"key_sha256": [sha256(CALLER_KEY)]}},
            **overrides,
        }
        Tree.model_validate(tree)
        return tree


def run_world(scenario: Scenario, seed: int = 1, **options: t.Any) -> None:
    """Run a scenario against a new world in virtual time.

    :param seed: seed of every random choice including the scheduler's, so that
        runs are reproducible.
    :param options: parameters of :class:`World`.
    """
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery, seed=seed, **options)
            await world.start()
            await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
