"""Routing policies to compare with the product's: baselines and an oracle."""

import contextlib
import itertools
import random
import typing as t
from unittest import mock

from foxtailsaddle.app import Application
from foxtailsaddle.core import EndpointId, Quote, _routing
from standins import cost
from standins.engine_model import EngineModel
from standins.world import World

from .plan import PolicyName

# A request that was sent this recently may not have reached its engine.
IN_FLIGHT_S = 0.01

FIRST_VERSION_CONSTANTS = {
    "BEHIND_WEIGHT": 0.0,
    "TIE_TOLERANCE_S": 0.0,
    "LENGTH_RANK_FACTOR": 4.0,
}


@contextlib.contextmanager
def patched_constants(name: PolicyName) -> t.Iterator[None]:
    """Set the routing constants that the named version of the product had."""
    patched = FIRST_VERSION_CONSTANTS if name is PolicyName.FIRST_VERSION else {}
    with contextlib.ExitStack() as stack:
        for constant, value in patched.items():
            stack.enter_context(mock.patch.object(_routing, constant, value))
        yield


class EndpointChooser(t.Protocol):
    """Chooses the endpoint for a request."""

    async def __call__(self, request: t.Any) -> Quote | None:
        """Return the chosen endpoint, ``None`` if no endpoint is available."""


def install(world: World, name: PolicyName, seed: int) -> None:
    """Make every instance of a world route by the named policy."""
    if name in (PolicyName.PRODUCT, PolicyName.FIRST_VERSION):
        return
    rng = random.Random(seed)
    oracle = Oracle(world)
    for instance in world.instances:
        app = world.app(instance)
        if name is PolicyName.OWN_DISPATCHES:
            _use_own_dispatches_only(app)
            continue
        app.router.choose = {
            PolicyName.RANDOM: Random(world, rng),
            PolicyName.ROUND_ROBIN: RoundRobin(world),
            PolicyName.LEAST_REPORTED: LeastReported(world, rng),
            PolicyName.LEAST_REPORTED_SHORTEST: LeastReported(world, rng),
            PolicyName.ORACLE: oracle,
        }[name]
        if name is PolicyName.ORACLE:
            _set_priority(app, lambda tokens, context: tokens)
        elif name is not PolicyName.LEAST_REPORTED_SHORTEST:
            _set_priority(app, lambda tokens, context: context.admitted_at)


def _set_priority(
    app: Application, engine_priority: t.Callable[[int, t.Any], float]
) -> None:
    app.model_gateway.attempt_runner.engine_priority = engine_priority


def _use_own_dispatches_only(app: Application) -> None:
    """Use the product's routing without the dispatches of other instances."""

    async def choose(request: t.Any) -> Quote | None:
        router = app.router
        endpoints = list(router.endpoints(request.service))
        return min(
            router._quote_all(endpoints, request), key=lambda q: q.score, default=None
        )

    app.router.choose = choose
    app.env.links.tell = lambda *_: None


class _Policy:
    def __init__(self, world: World) -> None:
        self._world = world

    def _live(self, request: t.Any) -> list[str]:
        host_by_address = self._world.network.host_by_address
        return [
            name
            for name in self._world.engine_names
            if name not in request.failed_endpoints
            and host_by_address[self._world.address(name)].listening
        ]

    def _quote(self, name: str) -> Quote:
        return Quote(EndpointId(name), 0.0, 0.0)


class Random(_Policy):
    """Chooses a random endpoint."""

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world)
        self._rng = rng

    async def __call__(self, request: t.Any) -> Quote | None:
        """Return a random endpoint."""
        live = self._live(request)
        return self._quote(self._rng.choice(live)) if live else None


class RoundRobin(_Policy):
    """Chooses the endpoints in turn, separately in each instance."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._counter = itertools.count()

    async def __call__(self, request: t.Any) -> Quote | None:
        """Return the next endpoint."""
        live = self._live(request)
        return self._quote(live[next(self._counter) % len(live)]) if live else None


class LeastReported(_Policy):
    """Chooses the endpoint with the least prefill work in its delayed load report."""

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world)
        self._rng = rng

    async def __call__(self, request: t.Any) -> Quote | None:
        """Return the endpoint with the least reported prefill work."""
        live = self._live(request)
        self._rng.shuffle(live)
        return self._quote(min(live, key=self._reported)) if live else None

    def _reported(self, name: str) -> float:
        report = self._world.engine_by_name[name].load()
        return sum(report["remaining_by_attempt"].values())


class Oracle(_Policy):
    """A single scheduler with current and complete data that prefers short prompts."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._sent: list[tuple[float, str, int]] = []

    async def __call__(self, request: t.Any) -> Quote | None:
        """Return the endpoint with the least work that would run before the request."""
        live = self._live(request)
        if not live:
            return None
        name = min(live, key=lambda name: self._work_ahead(name, request.tokens))
        now = self._world.app(self._world.instances[0]).env.clock.now()
        self._sent = [item for item in self._sent if now - item[0] < IN_FLIGHT_S]
        self._sent.append((now, name, request.tokens))
        return self._quote(name)

    def _work_ahead(self, name: str, tokens: int) -> tuple[float, float]:
        model: EngineModel = self._world.engine_by_name[name]
        known = list(model.sequence_by_attempt.values())
        in_flight_tokens = sum(
            sent
            for at, to, sent in self._sent
            if to == name and not any(s.prompt_tokens == sent for s in known)
        )
        ahead = sum(s.remaining_prefill_tokens for s in known if s.priority <= tokens)
        total = sum(s.remaining_prefill_tokens for s in known)
        return (ahead + in_flight_tokens) / cost.PREFILL_TOKENS_PER_S, total
