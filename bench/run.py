"""Runs plans in virtual time and records the outcome of every request."""

import dataclasses
import math
import random

import trio
from hdrh.histogram import HdrHistogram

from foxtailsaddle.core import length_class
from standins import cost
from standins.caller import CallRecord
from standins.fleet import sha256
from standins.world import World, run_world

from .plan import LONG_TOKENS, SHORTEST_TOKENS, Fault, Mix, Plan, PolicyName
from .policies import install, patched_constants

RATIO_SCALE = 1000
HIGHEST_RATIO = 10_000_000
SIGNIFICANT_DIGITS = 3
LONG_MEDIAN_TOKENS = 200_000
BURST_PERIOD_S = 4.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a plan.

    :param at_s: seconds since the start of the arrivals.
    :param instance: index of the instance to which it is sent.
    """

    at_s: float
    tokens: int
    account: str
    instance: int


@dataclasses.dataclass
class Result:
    """Outcome of one run.

    :param seen: the requests and their outcomes.
    :param slowdowns: histograms by length class of the time to first token over the
        prefill time on an idle engine.
    :param first_token_s: histograms by length class of the time to first token.
    """

    policy: PolicyName
    load: float
    with_long_prompts: bool
    seen: list[tuple[Arrival, CallRecord]]
    slowdowns: dict[str, HdrHistogram] = dataclasses.field(default_factory=dict)
    first_token_s: dict[str, HdrHistogram] = dataclasses.field(default_factory=dict)

    def goodput(self, plan: Plan) -> float:
        """Return the answered prefill work over the capacity of the engines."""
        answered_tokens = sum(
            arrival.tokens
            for arrival, record in self.seen
            if record.code == "ok" and arrival.at_s >= plan.warm_up_s
        )
        rate = plan.engines * cost.PREFILL_TOKENS_PER_S
        return answered_tokens / (rate * (plan.duration_s - plan.warm_up_s))

    @property
    def refusals_s(self) -> list[float]:
        """Seconds until refused requests were answered, ascending."""
        refused = ("overloaded", "limit_exceeded")
        return sorted(s.total_s for _, s in self.seen if s.code in refused)

    @property
    def answered(self) -> int:
        """Number of requests with a complete answer."""
        return sum(record.code == "ok" for _, record in self.seen)


def idle_prefill_s(tokens: int) -> float:
    """Return the prefill time of a prompt on an idle engine."""
    return tokens / cost.PREFILL_TOKENS_PER_S


def draw_tokens(mix: Mix, rng: random.Random) -> int:
    """Draw the length of one prompt."""
    if rng.random() < mix.long_share:
        spread = math.log(mix.longest_tokens / LONG_TOKENS)
        return int(LONG_TOKENS * math.exp(rng.random() ** 2 * spread))
    tokens = rng.lognormvariate(math.log(mix.median_tokens), mix.sigma)
    return int(min(max(tokens, SHORTEST_TOKENS), LONG_TOKENS))


def draw_arrivals(plan: Plan, load: float) -> list[Arrival]:
    """Draw arrivals at random times that offer ``load``, independent of answers."""
    rng = random.Random(plan.seed)
    sample = [draw_tokens(plan.mix, rng) for _ in range(20_000)]
    mean_tokens = sum(sample) / len(sample)
    rate = load * plan.engines * cost.PREFILL_TOKENS_PER_S / mean_tokens
    accounts = list(plan.accounts)
    weights = list(plan.accounts.values())
    arrivals = []
    at_s = 0.0
    while at_s < plan.duration_s:
        at_s += rng.expovariate(rate * _burst_factor(plan.burst, at_s))
        arrivals.append(
            Arrival(
                at_s,
                draw_tokens(plan.mix, rng),
                rng.choices(accounts, weights)[0],
                rng.randrange(plan.instances),
            )
        )
    return arrivals


def _burst_factor(burst: float, at_s: float) -> float:
    """Return the factor of the arrival rate at a time; its mean is 1."""
    if burst == 1:
        return 1.0
    in_burst = at_s % BURST_PERIOD_S < BURST_PERIOD_S / (2 * burst)
    return burst if in_burst else 0.5 / (1 - 1 / (2 * burst))


def run_policy(
    plan: Plan, policy: PolicyName, load: float, with_long_prompts: bool
) -> Result:
    """Run one policy with the arrivals of the plan in virtual time.

    :param with_long_prompts: false leaves out prompts above ``LONG_TOKENS``.
    """
    arrivals = [
        item
        for item in draw_arrivals(plan, load)
        if with_long_prompts or item.tokens <= LONG_TOKENS
    ]
    result = Result(policy, load, with_long_prompts, [])
    run_arrivals(plan, policy, arrivals, result)
    return result


def run_arrivals(
    plan: Plan, policy: PolicyName, arrivals: list[Arrival], result: Result
) -> None:
    """Send arrivals to a new world and add the outcomes to ``result``."""

    async def scenario(world: World) -> None:
        for model in world.engine_by_name.values():
            model.knobs.load_lag_s = plan.load_lag_s
            model.knobs.keepalive_s = 0.0
        install(world, policy, plan.seed)
        async with trio.open_nursery() as nursery:
            started = trio.current_time()
            for fault in plan.faults:
                nursery.start_soon(_inject_fault, world, fault, started)
            for arrival in arrivals:
                await trio.sleep_until(started + arrival.at_s)
                nursery.start_soon(_send, world, plan, arrival, result)

    with patched_constants(policy):
        run_world(
            scenario,
            instances=plan.instances,
            engines=plan.engines,
            seed=plan.seed,
            plain_services=0,
            latency_s=plan.latency_s,
            capacity_tokens=plan.capacity_tokens,
            tree=settings_tree(plan),
            instance={"load_interval_s": max(plan.load_lag_s, 0.1), **plan.instance},
        )


def prompt_text(arrival: Arrival) -> str:
    """Return a prompt that no engine has cached: its first block is unique."""
    size = cost.BYTES_PER_TOKEN * arrival.tokens
    return (f"{arrival.at_s:.6f} " + "x" * size)[:size]


async def _send(world: World, plan: Plan, arrival: Arrival, result: Result) -> None:
    names = world.instances
    if not names:
        return
    caller = world.caller(arrival.account)
    prompt = prompt_text(arrival)
    url = world.url(names[arrival.instance % len(names)])
    record = await caller.complete(url, prompt, plan.output_tokens, plan.allowed_s)
    record.request = ""
    record.text = ""
    result.seen.append((arrival, record))


async def _inject_fault(world: World, fault: Fault, started: float) -> None:
    await trio.sleep_until(started + fault.at_s)
    if fault.action == "kill":
        world.kill(fault.name)
    elif fault.action == "start" and fault.name in world.engine_names:
        world.start_engine(fault.name)
    elif fault.action == "start":
        world.start_instance(fault.name)
    elif fault.action in ("freeze", "thaw"):
        frozen = fault.action == "freeze"
        world.engine_by_name[fault.name].knobs.frozen = frozen
    else:
        world.platform.knobs.down = fault.action == "platform_down"


def settings_tree(plan: Plan) -> dict[str, object]:
    """Return a settings tree with the plan's accounts and without effective limits."""
    accounts = {name: {"key_sha256": [sha256(name)]} for name in plan.accounts}
    base = {
        "max_body_bytes": 6_000_000,
        "stall_s": 1e6,
        "max_concurrent": 100_000,
        "requests_per_s": 1e6,
        "tokens_per_s": 1e9,
    }
    return {"accounts": accounts, "base": base}


def fill_histograms(plan: Plan, result: Result) -> None:
    """Fill the histograms from the answered requests after the warm-up."""
    for arrival, record in result.seen:
        if arrival.at_s < plan.warm_up_s or record.code != "ok":
            continue
        length_label = length_class(arrival.tokens)
        ratio = record.first_token_s / idle_prefill_s(arrival.tokens)
        _record(result.slowdowns, length_label, ratio)
        _record(result.first_token_s, length_label, record.first_token_s)


def _record(by_class: dict[str, HdrHistogram], length_label: str, value: float) -> None:
    histogram = by_class.setdefault(
        length_label, HdrHistogram(1, HIGHEST_RATIO, SIGNIFICANT_DIGITS)
    )
    histogram.record_value(min(HIGHEST_RATIO, max(1, int(value * RATIO_SCALE))))


def p95(histogram: HdrHistogram | None) -> float:
    """Return the 95th percentile, NaN for an empty class."""
    if histogram is None:
        return math.nan
    return histogram.get_value_at_percentile(95) / RATIO_SCALE
