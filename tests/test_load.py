"""Tests that decisions under load meet their targets, in virtual time."""

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

MIN_GOODPUT = 0.95
MAX_REFUSAL_S = 0.05
MAX_RECOVERY_S = 10.0
MAX_SMALL_ACCOUNT_SLOWDOWN = 1.2
ADMITTED_RATIO_RANGE = (0.95, 1.05)
MAX_SHORT_PROMPT_TOKENS = 8_000
MAX_NORMAL_SLOWDOWN = 1.5
MIX_WITHOUT_LONG_PROMPTS = Mix(long_share=0.0)


def run_product(plan: Plan, arrivals: list[Arrival]) -> Result:
    """Run arrivals against the product and return the measured result."""
    result = Result(PolicyName.PRODUCT, 0.0, True, [])
    run_arrivals(plan, PolicyName.PRODUCT, arrivals, result)
    fill_histograms(plan, result)
    return result


def slow_share(result: Result) -> dict[int, float]:
    """Return the share of slow or failed short prompts by second of their arrival."""
    by_second = collections.defaultdict(list)
    for arrival, seen in result.seen:
        if arrival.tokens <= MAX_SHORT_PROMPT_TOKENS:
            slow = seen.code != "ok"
            slow = (
                slow
                or seen.first_token_s / idle_prefill_s(arrival.tokens)
                > MAX_NORMAL_SLOWDOWN
            )
            by_second[int(arrival.at_s)].append(slow)
    return {second: sum(slow) / len(slow) for second, slow in by_second.items()}


def recovery_time_s(result: Result, since_s: float, calm: Result) -> float:
    """Return the time from ``since_s`` to the end of the last bad second.

    :param calm: result of the same arrivals without the disturbance. A second is
        bad if its share of slow short prompts is more than 0.2 above this one.
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
            mix=MIX_WITHOUT_LONG_PROMPTS,
        )
        result = run_policy(plan, PolicyName.PRODUCT, 2.0, True)
        assert result.goodput(plan) >= MIN_GOODPUT
        assert result.refusals_s
        assert result.refusals_s[-1] <= MAX_REFUSAL_S


class TestRecovery:
    def plan(self, **changes) -> Plan:
        plan = Plan(
            duration_s=50,
            engines=12,
            instances=3,
            allowed_s=10,
            mix=MIX_WITHOUT_LONG_PROMPTS,
            seed=3,
        )
        return plan.model_copy(update=changes)

    def test_latency_recovers_soon_after_an_overload(self):
        plan = self.plan()
        calm = draw_arrivals(plan, 0.5)
        overload = draw_arrivals(plan.model_copy(update={"seed": 9}), 1.5)
        overload = [item for item in overload if 5 <= item.at_s < 25]
        arrivals = sorted(calm + overload, key=lambda item: item.at_s)
        result = run_product(plan, arrivals)
        assert recovery_time_s(result, 25, run_product(plan, calm)) <= MAX_RECOVERY_S

    def test_latency_recovers_soon_after_a_third_of_the_endpoints_died(self):
        faults = tuple(
            Fault(at_s=15, action="kill", name=f"e{n}") for n in (1, 4, 7, 9)
        )
        plan = self.plan(faults=faults, duration_s=40)
        arrivals = draw_arrivals(plan, 0.45)
        result = run_product(plan, arrivals)
        assert {seen.code for _, seen in result.seen} <= {"ok", "quarantined"}
        survivors = run_product(
            plan.model_copy(update={"engines": 8, "faults": ()}), arrivals
        )
        assert recovery_time_s(result, 15, survivors) <= MAX_RECOVERY_S


class TestFairness:
    """Small accounts are not slowed by one that sends five times its share."""

    def test_small_accounts_are_about_as_fast_as_alone(self):
        small = {"a": 1.0, "b": 1.0, "c": 1.0}
        plan = Plan(
            duration_s=40,
            warm_up_s=5,
            engines=12,
            instances=3,
            allowed_s=30,
            mix=MIX_WITHOUT_LONG_PROMPTS,
            accounts={**small, "large": 1e-9},
        )
        alone = draw_arrivals(plan, 0.3)
        flood_plan = plan.model_copy(update={"seed": 7, "accounts": {"large": 1.0}})
        flood = draw_arrivals(flood_plan, 5 * 0.25)
        both = sorted(alone + flood, key=lambda item: item.at_s)
        alone_p95_s = self.p95_of_small(plan, run_product(plan, alone))
        both_p95_s = self.p95_of_small(plan, run_product(plan, both))
        assert both_p95_s / alone_p95_s <= MAX_SMALL_ACCOUNT_SLOWDOWN

    def p95_of_small(self, plan: Plan, result: Result) -> float:
        small = [(a, s) for a, s in result.seen if a.account != "large"]
        assert {seen.code for _, seen in small} == {"ok"}
        only = Result(result.policy, 0.0, True, small)
        fill_histograms(plan, only)
        return p95(only.first_token_s["to_8k"])


class TestLimits:
    """The ratio of admitted to allowed requests when one instance gets all calls."""

    REQUESTS_PER_S = 40.0
    WINDOW_S = 10.0

    def admitted_ratio(self, inject_fault=None) -> float:
        seen: list[tuple[float, CallRecord]] = []

        async def scenario(world: World) -> None:
            async def send() -> None:
                at = trio.current_time()
                item = await world.caller().complete(world.url("i1"), "hi", 1, 20)
                seen.append((at, item))

            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(int(3 * self.REQUESTS_PER_S * (self.WINDOW_S + 2))):
                    await trio.sleep_until(started + number / (3 * self.REQUESTS_PER_S))
                    nursery.start_soon(send)
                    if inject_fault and number == 3 * self.REQUESTS_PER_S * 6:
                        inject_fault(world)
            window_start = started + 1.5
            ok = [
                item
                for at, item in seen
                if window_start <= at < window_start + self.WINDOW_S
                and item.code == "ok"
            ]
            counts.append(len(ok))

        counts: list[int] = []
        tree = {"base": {"requests_per_s": self.REQUESTS_PER_S}}
        run_world(scenario, instances=7, tree=tree)
        return counts[0] / (self.REQUESTS_PER_S * self.WINDOW_S)

    def test_one_instance_with_all_calls_admits_the_allowed_rate(self):
        low, high = ADMITTED_RATIO_RANGE
        assert low <= self.admitted_ratio() <= high

    def test_the_death_of_another_instance_does_not_change_the_rate(self):
        low, high = ADMITTED_RATIO_RANGE
        for name in ("i2", "i5"):
            assert (
                low
                <= self.admitted_ratio(lambda world, name=name: world.kill(name))
                <= high
            )

    def test_the_death_of_the_owner_of_the_limit_hardly_changes_the_rate(self):
        def kill_owner(world: World) -> None:
            app = world.app("i1")
            owners = app.members.owners(app.env.clock.now())
            from foxtailsaddle.core import owner_of

            world.kill(owner_of("account:inspector/drafts", owners))

        low, high = ADMITTED_RATIO_RANGE
        assert low <= self.admitted_ratio(kill_owner) <= high
