"""Baselines beside the product's routing, and the oracle as the limit."""

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

IN_FLIGHT_S = 0.01


FIRST_VERSION = {"BEHIND_WEIGHT": 0.0, "TIE_S": 0.0, "RANK_FACTOR": 4.0}


@contextlib.contextmanager
def constants_of(name: PolicyName) -> t.Iterator[None]:
    """Give the routing the constants that it had in the named version."""
    changed = FIRST_VERSION if name is PolicyName.FIRST_VERSION else {}
    with contextlib.ExitStack() as stack:
        for constant, value in changed.items():
            stack.enter_context(mock.patch.object(_routing, constant, value))
        yield


class Choose(t.Protocol):
    """Chooses an endpoint for a wish."""

    async def __call__(self, wish: t.Any) -> Quote | None:
        """Return the chosen endpoint."""


def install(world: World, name: PolicyName, seed: int) -> None:
    """Let every instance of a world choose by the named policy."""
    if name in (PolicyName.PRODUCT, PolicyName.FIRST_VERSION):
        return
    rng = random.Random(seed)
    oracle = Oracle(world)
    for instance in world.instances:
        app = world.app(instance)
        if name is PolicyName.OWN_BOOK:
            _only_own_book(app)
            continue
        app.router.choose = {
            PolicyName.RANDOM: Random(world, rng),
            PolicyName.ROUND_ROBIN: RoundRobin(world),
            PolicyName.LEAST_REPORTED: LeastReported(world, rng),
            PolicyName.LEAST_REPORTED_SHORTEST: LeastReported(world, rng),
            PolicyName.ORACLE: oracle,
        }[name]
        if name is PolicyName.ORACLE:
            _order(app, lambda tokens, trip: tokens)
        elif name is not PolicyName.LEAST_REPORTED_SHORTEST:
            _order(app, lambda tokens, trip: trip.admitted_at)


def _order(app: Application, priority: t.Callable[[int, t.Any], float]) -> None:
    app.gateway.runner.priority = priority


def _only_own_book(app: Application) -> None:
    """The product's routing with nothing known of other instances' dispatches."""

    async def choose(wish: t.Any) -> Quote | None:
        router = app.router
        endpoints = list(router.endpoints(wish.service))
        return min(
            router._quote_all(endpoints, wish), key=lambda q: q.score, default=None
        )

    app.router.choose = choose
    app.env.links.tell = lambda *_: None


class _Policy:
    def __init__(self, world: World) -> None:
        self._world = world

    def _live(self, wish: t.Any) -> list[str]:
        address = self._world.network.host_by_address
        return [
            name
            for name in self._world.engine_names
            if name not in wish.without and address[self._world.address(name)].listening
        ]

    def _quote(self, name: str) -> Quote:
        return Quote(EndpointId(name), 0.0, 0.0)


class Random(_Policy):
    """Any endpoint."""

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world)
        self._rng = rng

    async def __call__(self, wish: t.Any) -> Quote | None:
        """Return any endpoint."""
        live = self._live(wish)
        return self._quote(self._rng.choice(live)) if live else None


class RoundRobin(_Policy):
    """Each endpoint in turn, per instance."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._turn = itertools.count()

    async def __call__(self, wish: t.Any) -> Quote | None:
        """Return the next endpoint."""
        live = self._live(wish)
        return self._quote(live[next(self._turn) % len(live)]) if live else None


class LeastReported(_Policy):
    """The endpoint whose late load report shows the least prefill work."""

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world)
        self._rng = rng

    async def __call__(self, wish: t.Any) -> Quote | None:
        """Return the endpoint with the least reported work."""
        live = self._live(wish)
        self._rng.shuffle(live)
        return self._quote(min(live, key=self._reported)) if live else None

    def _reported(self, name: str) -> float:
        report = self._world.engine_by_name[name].load()
        return sum(report["remaining_by_attempt"].values())


class Oracle(_Policy):
    """One scheduler with fresh and complete knowledge, shortest first."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._sent: list[tuple[float, str, int]] = []

    async def __call__(self, wish: t.Any) -> Quote | None:
        """Return the endpoint where the least work would run ahead."""
        live = self._live(wish)
        if not live:
            return None
        name = min(live, key=lambda name: self._ahead(name, wish.tokens))
        now = self._world.app(self._world.instances[0]).env.clock.now()
        self._sent = [item for item in self._sent if now - item[0] < IN_FLIGHT_S]
        self._sent.append((now, name, wish.tokens))
        return self._quote(name)

    def _ahead(self, name: str, tokens: int) -> tuple[float, float]:
        model: EngineModel = self._world.engine_by_name[name]
        known = list(model.sequence_by_attempt.values())
        on_way = sum(
            sent
            for at, to, sent in self._sent
            if to == name and not any(s.prompt_tokens == sent for s in known)
        )
        ahead = sum(s.remaining_prefill_tokens for s in known if s.priority <= tokens)
        total = sum(s.remaining_prefill_tokens for s in known)
        return (ahead + on_way) / cost.PREFILL_TOKENS_PER_S, total
