"""The application object: builds the parts and runs their life cycle."""

import logging
import typing as t

import trio

from .._tasks import keep_running
from ..core import Liveness, Member, Members, MemberState
from ._attempts import AttemptRunner
from ._environment import Environment
from ._gateway import Gateway
from ._groups import GroupRunner
from ._guards import CrashWatch, LimitGuard
from ._journal import Journal
from ._ledger_keeper import LedgerKeeper
from ._operator_web import OperatorWeb
from ._orders import OrderDesk
from ._peering import Peering
from ._placement import Placement
from ._plain_gateway import PlainGateway
from ._router import Router
from ._settings_keeper import SettingsKeeper
from ._trip import TripDesk
from ._watcher import EndpointWatcher
from ._web import CallerWeb

logger = logging.getLogger("foxtailsaddle.app")

SUSPECT_HEARTBEATS = 6
CLOSE_LEDGER_S = 10.0
FIRST_SETTINGS_PAUSE_S = 0.2


class Application:
    """One entry instance.

    Its life cycle is ``start``, ``drain``, ``stop``; ``run`` goes through all
    of them.

    :param first_tree: settings to insert as revision 1 into an empty platform.
    """

    def __init__(self, env: Environment, first_tree: dict[str, t.Any]) -> None:
        self.env = env
        self._first_tree = first_tree
        self._draining = trio.Event()
        suspect_s = SUSPECT_HEARTBEATS * env.settings.heartbeat_s
        self.members = Members(_own_member(env), suspect_s)
        self.liveness = Liveness(env.settings.leave_bound_s)
        self.keeper = SettingsKeeper(env, self.members)
        self.router = Router(env, self.keeper, self.members, self.liveness)
        self.limits = LimitGuard(env, self.members)
        self.crashes = CrashWatch(env, self.members)
        self.journal = Journal()
        self.desk = TripDesk(env, self.journal)
        self.watcher = EndpointWatcher(
            env, self.keeper, self.members, self.liveness, self.router
        )
        self.peering = Peering(
            env,
            self.members,
            self.keeper,
            self.liveness,
            self.router,
            self.limits,
            self.crashes,
        )
        self.orders = OrderDesk(env)
        self.placement = Placement(
            env, self.keeper, self.members, self.liveness, self.orders
        )
        self.ledger: LedgerKeeper | None = None
        self.gateway: Gateway | None = None
        self.web: CallerWeb | None = None
        self.operator_web: OperatorWeb | None = None

    async def run(self) -> None:
        """Serve until ``drain`` was called and everything in flight has ended."""
        async with trio.open_nursery() as background:
            await self.start(background)
            async with trio.open_nursery() as servers:
                servers.start_soon(self._serve_operators)
                await self._serve_callers()
                servers.cancel_scope.cancel()
            await self.stop()
            background.cancel_scope.cancel()

    async def start(self, background: trio.Nursery) -> None:
        """Build the request path and start the control tasks."""
        self._build(background)
        background.start_soon(self.env.links.run, self.peering.answer)
        for task in (
            self._get_settings,
            self.peering.beat_forever,
            self.peering.watch_list,
            self.watcher.watch,
            self.placement.run,
        ):
            background.start_soon(keep_running, task)
        logger.info("app: started")

    def drain(self) -> None:
        """Begin a graceful shutdown: readiness falls, then listening ends."""
        self._draining.set()

    async def stop(self) -> None:
        """Finish what must be written, and tell the peers."""
        with trio.move_on_after(CLOSE_LEDGER_S):
            while self.ledger.closing:
                await trio.sleep(0.05)
        logger.info("app: stopped", extra={"ledger_open": self.ledger.closing})

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return self.keeper.log.number > 0 and not self._draining.is_set()

    def may_admit(self) -> bool:
        """Return whether the settings in force are confirmed."""
        return self.keeper.log.is_confirmed(self.env.clock.now())

    def _build(self, background: trio.Nursery) -> None:
        runner = AttemptRunner(self.env, self.router, background)
        groups = GroupRunner(self.env, self.router, self.liveness, runner)
        self.ledger = LedgerKeeper(self.env, background)
        self.gateway = Gateway(
            self.env,
            self.keeper,
            self.desk,
            self.router,
            self.limits,
            self.crashes,
            runner,
            groups,
        )
        plain = PlainGateway(self.env, self.desk, self.router, self.limits, self.ledger)
        self.web = CallerWeb(
            self.env,
            self.keeper.log,
            self.gateway,
            plain,
            self.is_ready,
            self.may_admit,
        )
        self.operator_web = OperatorWeb(
            self.env,
            self.keeper,
            self.members,
            self.liveness,
            self.router,
            self.ledger,
            self.journal,
        )

    async def _get_settings(self) -> None:
        """Find the settings, on the platform or at a peer, then follow them."""
        while self.keeper.log.number == 0:
            await self.keeper.refresh()
            if self.keeper.log.number == 0 and self._first_tree:
                await self.keeper.bootstrap(self._first_tree)
            await trio.sleep(FIRST_SETTINGS_PAUSE_S)
        await self.keeper.refresh()
        self.peering.beat(MemberState.LIVE)
        logger.info(
            "app: settings in force", extra={"revision": self.keeper.log.number}
        )
        await self.keeper.follow()

    async def _serve_callers(self) -> None:
        await self.env.web.serve(
            self.web.asgi(), self.env.settings.callers, self.wait_until_drained
        )

    async def _serve_operators(self) -> None:
        await self.env.web.serve(
            self.operator_web.asgi(), self.env.settings.operators, _for_ever
        )

    async def wait_until_drained(self) -> float:
        """Return once the listener may close; readiness has fallen before.

        :returns: the longest time that requests in flight may take, in seconds.
        """
        await self._draining.wait()
        logger.info("app: draining")
        await self.peering.leave()
        await trio.sleep(self.env.settings.drain_s)
        return max(self._allowed_times_s())

    def _allowed_times_s(self) -> list[float]:
        tree = self.keeper.log.tree
        overrides = [tree.base]
        for account in tree.accounts.values():
            overrides += [account.policy, *account.services.values()]
        times = [item.max_allowed_time_s for item in overrides]
        return [time_s for time_s in times if time_s] or [600.0]


async def _for_ever() -> float:
    await trio.sleep_forever()
    return 0.0


def _own_member(env: Environment) -> Member:
    return Member(
        id=env.settings.id,
        incarnation=env.incarnation,
        beat=0,
        state=MemberState.STARTING,
        address=str(env.settings.peers),
        data_centre=env.settings.data_centre,
        revision=0,
    )
