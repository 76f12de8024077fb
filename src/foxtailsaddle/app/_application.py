"""The application object: builds the components and runs their life cycle."""

import logging
import typing as t

import trio

from .._tasks import keep_running
from ..core import Liveness, Member, Members, MemberState
from ._admission import CrashQuarantine, RateLimiter
from ._attempts import AttemptRunner
from ._caller_api import CallerApi
from ._decision_log import DecisionLog
from ._endpoint_poller import EndpointPoller
from ._environment import Environment
from ._group_runner import GroupRunner
from ._idempotency_ledger import IdempotencyLedger
from ._model_gateway import ModelGateway
from ._model_placement import ModelPlacement
from ._operator_api import OperatorApi
from ._order_sender import OrderSender
from ._part_quarantine import PartQuarantine
from ._peering import Peering
from ._plain_gateway import PlainGateway
from ._request_context import RequestRegistry
from ._restore_monitor import RestoreMonitor
from ._router import Router
from ._settings_manager import SettingsManager

logger = logging.getLogger("foxtailsaddle.app")

SUSPECT_AFTER_HEARTBEATS = 6
LEDGER_CLOSE_TIMEOUT_S = 10.0
BOOTSTRAP_RETRY_S = 0.2


class Application:
    """One entry instance.

    Its life cycle is ``start``, ``drain``, ``stop``; ``run`` performs all of
    them.

    :param initial_tree: settings to insert as revision 1 when the platform has
        none.
    """

    def __init__(self, env: Environment, initial_tree: dict[str, t.Any]) -> None:
        self.env = env
        self._initial_tree = initial_tree
        self._draining = trio.Event()
        suspect_s = SUSPECT_AFTER_HEARTBEATS * env.settings.heartbeat_s
        self.members = Members(_initial_member(env), suspect_s)
        self.liveness = Liveness(env.settings.leave_bound_s)
        self.restore_monitor = RestoreMonitor(env.platform, env.clock)
        self.settings_manager = SettingsManager(env, self.members, self.restore_monitor)
        self.router = Router(env, self.settings_manager, self.members, self.liveness)
        self.rate_limiter = RateLimiter(env, self.members)
        self.crash_quarantine = CrashQuarantine(env, self.members)
        self.part_quarantine = PartQuarantine(env, self.members)
        self.decision_log = DecisionLog()
        self.request_registry = RequestRegistry(env, self.decision_log)
        self.endpoint_poller = EndpointPoller(
            env, self.settings_manager, self.members, self.liveness, self.router
        )
        self.peering = Peering(
            env,
            self.members,
            self.settings_manager,
            self.liveness,
            self.router,
            self.rate_limiter,
            self.crash_quarantine,
            self.part_quarantine,
        )
        self.restore_monitor.on_restore.append(self.peering.request_registration)
        self.order_sender = OrderSender(env, self.restore_monitor)
        self.model_placement = ModelPlacement(
            env, self.settings_manager, self.members, self.liveness, self.order_sender
        )
        self.ledger: IdempotencyLedger | None = None
        self.model_gateway: ModelGateway | None = None
        self.caller_api: CallerApi | None = None
        self.operator_api: OperatorApi | None = None

    async def run(self) -> None:
        """Serve until ``drain`` was called and all requests in flight have ended."""
        async with trio.open_nursery() as background:
            await self.start(background)
            async with trio.open_nursery() as servers:
                servers.start_soon(self._serve_operators)
                await self._serve_callers()
                servers.cancel_scope.cancel()
            await self.stop()
            background.cancel_scope.cancel()

    async def start(self, background: trio.Nursery) -> None:
        """Build the request path and start the background tasks."""
        self._build(background)
        background.start_soon(self.env.links.run, self.peering.handle_message)
        for task in (
            self._load_and_follow_settings,
            self.peering.send_heartbeats,
            self.peering.follow_instance_list,
            self.endpoint_poller.run,
            self.model_placement.run,
        ):
            background.start_soon(keep_running, task)
        logger.info("app: started")

    def drain(self) -> None:
        """Begin a graceful shutdown: report not ready, then stop listening."""
        self._draining.set()

    async def stop(self) -> None:
        """Wait for pending ledger writes, at most ``LEDGER_CLOSE_TIMEOUT_S``."""
        with trio.move_on_after(LEDGER_CLOSE_TIMEOUT_S):
            while self.ledger.pending_writes:
                await trio.sleep(0.05)
        logger.info("app: stopped", extra={"ledger_open": self.ledger.pending_writes})

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self.settings_manager.log.number > 0 and not self._draining.is_set()

    def may_admit(self) -> bool:
        """Return whether the settings in force are recently confirmed."""
        return self.settings_manager.log.is_confirmed(self.env.clock.now())

    def _build(self, background: trio.Nursery) -> None:
        attempt_runner = AttemptRunner(self.env, self.router, background)
        group_runner = GroupRunner(self.env, self.router, self.liveness, attempt_runner)
        self.ledger = IdempotencyLedger(self.env, background, self.restore_monitor)
        self.model_gateway = ModelGateway(
            self.env,
            self.settings_manager,
            self.request_registry,
            self.router,
            self.rate_limiter,
            self.crash_quarantine,
            self.part_quarantine,
            attempt_runner,
            group_runner,
        )
        plain_gateway = PlainGateway(
            self.env, self.request_registry, self.router, self.rate_limiter, self.ledger
        )
        self.caller_api = CallerApi(
            self.env,
            self.settings_manager.log,
            self.model_gateway,
            plain_gateway,
            self.is_ready,
            self.may_admit,
        )
        self.operator_api = OperatorApi(
            self.env,
            self.settings_manager,
            self.members,
            self.liveness,
            self.router,
            self.ledger,
            self.decision_log,
        )

    async def _load_and_follow_settings(self) -> None:
        """Load the settings from the platform or a peer, then follow changes."""
        while self.settings_manager.log.number == 0:
            await self.settings_manager.refresh()
            if self.settings_manager.log.number == 0 and self._initial_tree:
                await self.settings_manager.bootstrap(self._initial_tree)
            await trio.sleep(BOOTSTRAP_RETRY_S)
        await self.settings_manager.refresh()
        self.peering.send_heartbeat(MemberState.LIVE)
        logger.info(
            "app: settings in force",
            extra={"revision": self.settings_manager.log.number},
        )
        await self.settings_manager.follow()

    async def _serve_callers(self) -> None:
        await self.env.web.serve(
            self.caller_api.asgi(), self.env.settings.callers, self.wait_until_drained
        )

    async def _serve_operators(self) -> None:
        await self.env.operator_web.serve(
            self.operator_api.asgi(), self.env.settings.operators, _never_drain
        )

    async def wait_until_drained(self) -> float:
        """Wait until the listener may close.

        That is ``drain_s`` seconds after the instance stopped reporting ready, so that
        load balancers no longer send requests here.

        :returns: the longest allowed time in the settings, in seconds; requests in
            flight get this long to end.
        """
        await self._draining.wait()
        logger.info("app: draining")
        await self.peering.leave()
        await trio.sleep(self.env.settings.drain_s)
        return max(self._max_allowed_times_s())

    def _max_allowed_times_s(self) -> list[float]:
        tree = self.settings_manager.log.tree
        overrides = [tree.base]
        for account in tree.accounts.values():
            overrides += [account.policy, *account.services.values()]
        times = [item.max_allowed_time_s for item in overrides]
        return [time_s for time_s in times if time_s] or [600.0]


async def _never_drain() -> float:
    await trio.sleep_forever()
    return 0.0


def _initial_member(env: Environment) -> Member:
    return Member(
        id=env.settings.id,
        incarnation=env.incarnation,
        beat=0,
        state=MemberState.STARTING,
        address=str(env.settings.peers),
        data_centre=env.settings.data_centre,
        revision=0,
    )
