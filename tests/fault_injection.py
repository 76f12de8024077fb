"""Fault injection: random requests and faults in one run in virtual time.

A plan is a list of steps, made by ``hypothesis`` or from a seed. The same plan
always gives the same run.
"""

import dataclasses
import random
import typing as t

import trio

from standins.caller import CallRecord
from standins.world import World, run_world

from . import history

OUTPUT_TOKENS = 12
ALLOWED_S = 20.0
CLEANUP_TIME_S = 8.0
MAX_PROMPT_TOKENS = 60_000
FAULT_DURATIONS_S = (0.5, 2.0, 6.0)


@dataclasses.dataclass(frozen=True)
class Step:
    """A request or a fault of a plan.

    :param action: name of a ``do_`` method of the run, without its prefix.
    :param gap_s: time to wait before the step.
    :param pick: number that selects names, prompt lengths and durations.
    """

    action: str
    gap_s: float
    pick: int


@dataclasses.dataclass
class SentRequest:
    """A request and its result.

    :ivar instance: the instance that it was sent to.
    :ivar at: time of sending, in seconds.
    """

    instance: str
    at: float
    seen: CallRecord


class FaultInjection:
    """Executes a plan and then checks every guarantee."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._caller = world.caller()
        self.completions: list[SentRequest] = []
        self.calls: list[SentRequest] = []
        self._kills: list[tuple[float, str]] = []
        self._request_count = 0

    async def run(self, plan: t.Sequence[Step]) -> None:
        """Execute the plan, wait until all requests have ended, and check."""
        async with trio.open_nursery() as nursery:
            for step in plan:
                await trio.sleep(step.gap_s)
                await getattr(self, f"do_{step.action}")(nursery, step.pick)
        self._world.network.heal()
        self._world.platform.knobs.update({"down": False, "latency_s": 0.0})
        await trio.sleep(ALLOWED_S + CLEANUP_TIME_S)
        self.check()

    def check(self) -> None:
        """Check the history against every guarantee.

        Requests whose instance was unreachable, or killed before it answered, are
        left out.
        """
        answerable = [
            s for s in (*self.completions, *self.calls) if self._could_be_answered(s)
        ]
        completions = [s.seen for s in answerable if s in self.completions]
        calls = [s.seen for s in answerable if s in self.calls]
        history.check_in_time(completions + calls)
        history.check_answers_match_prompts(completions, OUTPUT_TOKENS)
        history.check_not_run_verdicts(self._world, completions)
        history.check_at_most_once(self._world)
        history.check_answered_calls_ran(self._world, calls)
        history.check_one_answer_per_key(calls)
        history.check_no_memory_leaked(self._world)

    async def do_complete(self, nursery: trio.Nursery, pick: int) -> None:
        """Send a prompt whose length depends on ``pick``."""
        self._request_count += 1
        tokens = 10 + pick * 7919 % MAX_PROMPT_TOKENS
        prompt = f"prompt {self._request_count} " + "x" * (4 * tokens)
        nursery.start_soon(self._complete, self._instance(pick), prompt)

    async def do_sign_off(self, nursery: trio.Nursery, pick: int) -> None:
        """Make a call that may run only once; send a third of them to two instances."""
        self._request_count += 1
        key = f"key-{self._request_count}"
        body = f'{{"record": {self._request_count}}}'
        nursery.start_soon(self._sign_off, self._instance(pick), body, key)
        if pick % 3 == 0:
            other = self._instance(pick + 1)
            nursery.start_soon(self._sign_off, other, body, key)

    async def do_kill_engine(self, nursery: trio.Nursery, pick: int) -> None:
        """Kill an engine and restart it later with empty memory."""
        name = _choose(self._world.engine_names, pick)
        self._kill(name)
        nursery.start_soon(
            _run_later, _fault_duration_s(pick), lambda: self._restart(name)
        )

    async def do_kill_plain(self, nursery: trio.Nursery, pick: int) -> None:
        """Crash a plain endpoint after its next call took effect, and restart it."""
        name = _choose(self._world.plain_names, pick)
        self._world.plain_by_name[name].knobs.crash_after = 1
        nursery.start_soon(self._restart_when_dead, name)

    async def do_kill_instance(self, nursery: trio.Nursery, pick: int) -> None:
        """Kill an instance and restart it later without any state."""
        if len(self._world.instances) > 1:
            name = _choose(self._world.instances, pick)
            self._kill(name)
            nursery.start_soon(
                _run_later, _fault_duration_s(pick), lambda: self._restart(name)
            )

    async def do_silence(self, nursery: trio.Nursery, pick: int) -> None:
        """Stop the events of an engine's open streams without closing them."""
        name = _choose(self._world.engine_names, pick)
        self._world.engine_by_name[name].knobs.silent += 1

    async def do_freeze_engine(self, nursery: trio.Nursery, pick: int) -> None:
        """Freeze an engine for a while: it answers nothing."""
        name = _choose(self._world.engine_names, pick)
        knobs = self._world.engine_by_name[name].knobs
        knobs.frozen = True
        nursery.start_soon(
            _run_later, _fault_duration_s(pick), lambda: knobs.update(NOT_FROZEN)
        )

    async def do_cut(self, nursery: trio.Nursery, pick: int) -> None:
        """Cut an instance off from its peers for a while, or also from the platform."""
        name = _choose(self._world.instances, pick)
        self._world.cut_off_instance(name, platform=pick % 2 == 0)
        nursery.start_soon(
            _run_later, _fault_duration_s(pick), self._world.network.heal
        )

    async def do_platform_down(self, nursery: trio.Nursery, pick: int) -> None:
        """Let the platform refuse every call for a while."""
        knobs = self._world.platform.knobs
        knobs.down = True
        nursery.start_soon(
            _run_later, _fault_duration_s(pick), lambda: knobs.update(NOT_DOWN)
        )

    async def do_lose_answer(self, nursery: trio.Nursery, pick: int) -> None:
        """Lose the answer of the next write to the platform, or delay the write."""
        knobs = self._world.platform.knobs
        if pick % 2:
            knobs.lost_answers = 1
        else:
            knobs.late_writes = 1

    async def do_restore(self, nursery: trio.Nursery, pick: int) -> None:
        """Let the platform come back from a backup that is some seconds old."""
        self._world.platform.restore(_fault_duration_s(pick))

    async def _complete(self, instance: str, prompt: str) -> None:
        at = trio.current_time()
        url = self._world.url(instance)
        seen = await self._caller.complete(url, prompt, OUTPUT_TOKENS, ALLOWED_S)
        self.completions.append(SentRequest(instance, at, seen))

    async def _sign_off(self, instance: str, body: str, key: str) -> None:
        """Send a call, up to three times until it succeeds, under one key."""
        for _ in range(3):
            at = trio.current_time()
            url = self._world.url(instance)
            seen = await self._caller.call(url, "sign", body.encode(), key, 5.0)
            self.calls.append(SentRequest(instance, at, seen))
            if seen.code == "ok":
                return
            await trio.sleep(seen.retry_after_s or 1.0)
            instance = self._instance(len(self.calls))

    def _kill(self, name: str) -> None:
        self._kills.append((trio.current_time(), name))
        self._world.kill(name)

    async def _restart_when_dead(self, name: str) -> None:
        address = self._world.address(name)
        with trio.move_on_after(ALLOWED_S):
            while self._world.network.host_by_address[address].listening:
                await trio.sleep(0.1)
        self._world.plain_by_name[name].knobs.crash_after = 0
        if not self._world.network.host_by_address[address].listening:
            self._restart(name)

    def _restart(self, name: str) -> None:
        if name in self._world.engine_names:
            self._world.start_engine(name)
        elif name in self._world.plain_names:
            self._world.start_plain(name)
        elif name not in self._world.instances:
            self._world.start_instance(name)

    def _instance(self, pick: int) -> str:
        return _choose(self._world.instances, pick)

    def _could_be_answered(self, sent: SentRequest) -> bool:
        """Return whether the instance was reached and not killed before the answer."""
        end = sent.at + sent.seen.total_s
        killed = any(
            name == sent.instance and sent.at <= at <= end + 0.01
            for at, name in self._kills
        )
        return not killed and "refused" not in sent.seen.code


NOT_FROZEN = {"frozen": False}
NOT_DOWN = {"down": False}
ACTIONS = tuple(
    name.removeprefix("do_") for name in vars(FaultInjection) if name.startswith("do_")
)
FAULTS = tuple(
    name for name in ACTIONS if name not in ("complete", "sign_off", "restore")
)
# The ledger row of a call is lost for good if its instance dies and the platform is
# restored.
FAULTS_BESIDE_RESTORES = tuple(
    "restore" if name == "kill_instance" else name for name in FAULTS
)


def random_plan(
    seed: int,
    steps: int = 40,
    fault_share: float = 0.25,
    faults: t.Sequence[str] = FAULTS,
) -> list[Step]:
    """Return the plan of a seed.

    :param fault_share: probability that a step is a fault.
    """
    rng = random.Random(seed)
    return [
        Step(
            rng.choice(faults)
            if rng.random() < fault_share
            else rng.choice(("complete", "sign_off")),
            rng.choice((0.0, 0.05, 0.3, 1.0)),
            rng.randrange(1000),
        )
        for _ in range(steps)
    ]


def run_plan(plan: t.Sequence[Step], seed: int = 1) -> None:
    """Run a plan in a new world and check every guarantee."""

    async def scenario(world: World) -> None:
        await FaultInjection(world).run(plan)

    run_world(scenario, plain_services=2, seed=seed)


def _choose(names: t.Sequence[str], pick: int) -> str:
    return names[pick % len(names)]


def _fault_duration_s(pick: int) -> float:
    return FAULT_DURATIONS_S[pick % len(FAULT_DURATIONS_S)]


async def _run_later(delay_s: float, action: t.Callable[[], None]) -> None:
    await trio.sleep(delay_s)
    action()
