"""Decisions under load, against the stated targets, in virtual time."""

import collections

import trio

from bench.plan import Fault, Mix, Plan, PolicyName
from bench.run import (
    Arrival,
    Result,
    draw_arrivals,
    fill_histograms,
    idle_prefill_s,
    p95,
    run_arrivals,
    run_policy,
)
from standins.caller import CallRecord
from standins.world import World, run_world

GOODPUT_TARGET = 0.95
REFUSAL_TARGET_S = 0.05
RECOVERY_TARGET_S = 10.0
SMALL_ACCOUNTS_TARGET = 1.2
ADMITTED_TARGET = (0.95, 1.05)
SHORT_TOKENS = 8_000
NORMAL_SLOWDOWN = 1.5
NO_LONG = Mix(long_share=0.0)


def run(plan: Plan, arrivals: list[Arrival]) -> Result:
    result = Result(PolicyName.PRODUCT, 0.0, True, [])
    run_arrivals(plan, PolicyName.PRODUCT, arrivals, result)
    fill_histograms(plan, result)
    return result


def slow_share(result: Result) -> dict[int, float]:
    """Return the share of short prompts that were slow, by second of arrival."""
    by_second = collections.defaultdict(list)
    for arrival, seen in result.seen:
        if arrival.tokens <= SHORT_TOKENS:
            slow = seen.code != "ok"
            slow = (
                slow
                or seen.first_token_s / idle_prefill_s(arrival.tokens) > NORMAL_SLOWDOWN
            )
            by_second[int(arrival.at_s)].append(slow)
    return {second: sum(slow) / len(slow) for second, slow in by_second.items()}


def back_to_normal_s(result: Result, since_s: float, calm: Result) -> float:
    """Return when the last bad second after ``since_s`` was over, after it.

    :param calm: the same arrivals without the disturbance; a second is bad
        when a fifth more of its short prompts were slow than there.
    """
    normal = slow_share(calm)
    bad = [
        second
        for second, share in slow_share(result).items()
        if second >= since_s and share > normal.get(second, 0.0) + 0.2
    ]
    return max(bad, default=since_s - 1) + 1 - since_s


class TestOverload:
    def test_goodput_and_refusals_at_twice_the_capacity(self):
        plan = Plan(
            duration_s=25,
            warm_up_s=8,
            engines=8,
            instances=3,
            allowed_s=10,
            mix=NO_LONG,
        )
        result = run_policy(plan, PolicyName.PRODUCT, 2.0, True)
        assert result.goodput(plan) >= GOODPUT_TARGET
        assert result.refusals_s
        assert result.refusals_s[-1] <= REFUSAL_TARGET_S


class TestRecovery:
    def plan(self, **changes) -> Plan:
        plan = Plan(
            duration_s=50, engines=12, instances=3, allowed_s=10, mix=NO_LONG, seed=3
        )
        return plan.model_copy(update=changes)

    def test_is_back_to_normal_soon_after_an_overload(self):
        plan = self.plan()
        calm = draw_arrivals(plan, 0.5)
        storm = draw_arrivals(plan.model_copy(update={"seed": 9}), 1.5)
        storm = [item for item in storm if 5 <= item.at_s < 25]
        arrivals = sorted(calm + storm, key=lambda item: item.at_s)
        result = run(plan, arrivals)
        assert back_to_normal_s(result, 25, run(plan, calm)) <= RECOVERY_TARGET_S

    def test_is_back_to_normal_soon_after_a_third_of_the_endpoints_died(self):
        faults = tuple(
            Fault(at_s=15, action="kill", name=f"e{n}") for n in (1, 4, 7, 9)
        )
        plan = self.plan(faults=faults, duration_s=40)
        arrivals = draw_arrivals(plan, 0.45)
        result = run(plan, arrivals)
        assert {seen.code for _, seen in result.seen} <= {"ok", "quarantined"}
        survivors = run(plan.model_copy(update={"engines": 8, "faults": ()}), arrivals)
        assert back_to_normal_s(result, 15, survivors) <= RECOVERY_TARGET_S


class TestFairness:
    """Small accounts beside one that sends five times its share."""

    def test_small_accounts_are_as_quick_as_alone(self):
        small = {"a": 1.0, "b": 1.0, "c": 1.0}
        plan = Plan(
            duration_s=40,
            warm_up_s=5,
            engines=12,
            instances=3,
            allowed_s=30,
            mix=NO_LONG,
            accounts={**small, "large": 1e-9},
        )
        alone = draw_arrivals(plan, 0.3)
        flood_plan = plan.model_copy(update={"seed": 7, "accounts": {"large": 1.0}})
        flood = draw_arrivals(flood_plan, 5 * 0.25)
        both = sorted(alone + flood, key=lambda item: item.at_s)
        quick = self.p95_of_small(plan, run(plan, alone))
        beside = self.p95_of_small(plan, run(plan, both))
        assert beside / quick <= SMALL_ACCOUNTS_TARGET

    def p95_of_small(self, plan: Plan, result: Result) -> float:
        small = [(a, s) for a, s in result.seen if a.account != "large"]
        assert {seen.code for _, seen in small} == {"ok"}
        only = Result(result.policy, 0.0, True, small)
        fill_histograms(plan, only)
        return p95(only.first_token_s["to_8k"])


class TestLimits:
    """Admitted over allowed, with all calls at one instance."""

    RATE = 40.0
    WINDOW_S = 10.0

    def admitted(self, disturb=None) -> float:
        seen: list[tuple[float, CallRecord]] = []

        async def scenario(world: World) -> None:
            async def send() -> None:
                at = trio.current_time()
                item = await world.caller().complete(world.url("i1"), "hi", 1, 20)
                seen.append((at, item))

            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(int(3 * self.RATE * (self.WINDOW_S + 2))):
                    await trio.sleep_until(started + number / (3 * self.RATE))
                    nursery.start_soon(send)
                    if disturb and number == 3 * self.RATE * 6:
                        disturb(world)
            first = started + 1.5
            ok = [
                item
                for at, item in seen
                if first <= at < first + self.WINDOW_S and item.code == "ok"
            ]
            counts.append(len(ok))

        counts: list[int] = []
        tree = {"base": {"requests_per_s": self.RATE}}
        run_world(scenario, instances=7, tree=tree)
        return counts[0] / (self.RATE * self.WINDOW_S)

    def test_a_skewed_balancer_changes_nothing(self):
        low, high = ADMITTED_TARGET
        assert low <= self.admitted() <= high

    def test_a_dying_instance_changes_nothing(self):
        low, high = ADMITTED_TARGET
        for name in ("i2", "i5"):
            assert (
                low <= self.admitted(lambda world, name=name: world.kill(name)) <= high
            )

    def test_a_dying_home_changes_little(self):
        def kill_home(world: World) -> None:
            app = world.app("i1")
            owners = app.members.owners(app.env.clock.now())
            from foxtailsaddle.core import owner_of

            world.kill(owner_of("account:inspector/drafts", owners))

        low, high = ADMITTED_TARGET
        assert low <= self.admitted(kill_home) <= high
