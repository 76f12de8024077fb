"""Placement under load, against simpler policies, in simulated engines.

Each test names its load pattern; the loads are the users' kinds of prompts.
"""

import math
import random

import pytest

from foxtailsaddle.core import (
    DataCentre,
    EndpointId,
    EngineBooks,
    EngineCandidate,
    InstanceId,
    Job,
    JobId,
    PromptDemand,
    Waiter,
    WaitingLine,
    answer_weight,
    place_stream,
)
from standins.passes import PassEngine, PassFleet, Prompt
from tests.engines import TIME

ENGINES = 14
HOME = DataCentre("a")
KINDS = {
    "short": (4_960, 0.9, 1_360, 300.0, 250.0, 1.3),
    "medium": (45_000, 0.5, 820, 1_500.0, 600.0, 3.9),
    "long": (133_000, 0.55, 680, 3_000.0, 1_000.0, 15.0),
}
CALM = {"short": 14.9, "medium": 0.81, "long": 0.685}


def load(rates, seconds, seed=1):
    """Return prompts that arrive at random, ``rates`` of each kind a second."""
    rng = random.Random(seed)
    prompts = []
    for kind, rate in rates.items():
        mean, spread, output, aim_ms, gap_ms, weight = KINDS[kind]
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(rate) * 1000) < seconds * 1000:
            tokens = int(mean * math.exp(rng.gauss(-spread * spread / 2, spread)))
            written = int(output * rng.uniform(0.4, 1.6))
            tokens = min(tokens, 215_000)
            worth_of = weight * (0.3 + 0.7 * tokens / mean)
            prompts.append(Prompt(0, at_ms, tokens, written, aim_ms, gap_ms, worth_of))
    prompts.sort(key=lambda prompt: prompt.at_ms)
    for number, prompt in enumerate(prompts):
        prompt.number = number
    return prompts


class Ours:
    """Places as the instances do, with books that are up to date."""

    def __init__(self, engines):
        self._engines = engines
        self._books = EngineBooks()

    def place(self, prompt, now_ms):
        return self.enter(prompt, self.plan(prompt, now_ms), now_ms)

    def plan(self, prompt, now_ms):
        now = now_ms / 1000
        candidates = [
            EngineCandidate(e.id, HOME, self._books.load(e.id, now), pace=e.pace)
            for e in self._engines
        ]
        demand = PromptDemand(
            prompt.tokens,
            prompt.output_tokens,
            prompt.target_ms - (now_ms - prompt.at_ms),
            prompt.gap_ms,
            answer_weight(prompt.tokens, prompt.output_tokens),
        )
        return place_stream(demand, candidates, TIME, HOME)

    def enter(self, prompt, plan, now_ms):
        job = Job(
            JobId(prompt.number),
            InstanceId("i"),
            plan.endpoint,
            plan.helpers,
            prompt.tokens,
            prompt.output_tokens,
            plan.part_ms,
            prompt.gap_ms,
            answer_weight(prompt.tokens, prompt.output_tokens),
        )
        self._books.place(job, plan.writing_ms, now_ms / 1000)
        return plan.endpoint, plan.helpers

    def note(self, prompt, now_ms):
        if prompt.ended_ms is None:
            self._books.begin(JobId(prompt.number), now_ms / 1000)
        else:
            self._books.end(JobId(prompt.number), now_ms / 1000)


class Waiting(Ours):
    """Places as the instances do, and lets prompts wait while slots are taken."""

    HOLD_MS = 10_000.0

    def __init__(self, engines):
        super().__init__(engines)
        self._line = WaitingLine()
        self._prompt_by_waiter = {}

    def place(self, prompt, now_ms):
        plan = self.plan(prompt, now_ms)
        if not plan.slot_ms:
            return self.enter(prompt, plan, now_ms)
        reading_ms = plan.first_event_ms - plan.slot_ms
        waiter = Waiter(
            arrived_at=now_ms / 1000,
            in_time_until=(now_ms + prompt.target_ms - reading_ms) / 1000,
            leaves_at=(now_ms + self.HOLD_MS) / 1000,
            is_long=prompt.tokens > 15_000,
        )
        self._prompt_by_waiter[waiter] = prompt
        self._line.add(waiter)
        return None

    def call_next(self, now_ms):
        now = now_ms / 1000
        leaving = self._line.leaving(now)
        waiter = leaving[0] if leaving else self._line.next(now, self._is_free(now_ms))
        if waiter is None:
            return None
        self._line.remove(waiter)
        prompt = self._prompt_by_waiter.pop(waiter)
        return prompt, self.enter(prompt, self.plan(prompt, now_ms), now_ms)

    def _is_free(self, now_ms):
        return lambda waiter: (
            not self.plan(self._prompt_by_waiter[waiter], now_ms).slot_ms
        )


class Fewest:
    """Places where the fewest requests are in flight, without helpers."""

    def __init__(self, engines):
        self._count_by_id = {engine.id: 0 for engine in engines}
        self._id_by_number = {}

    def place(self, prompt, now_ms):
        id = min(self._count_by_id, key=self._count_by_id.get)
        self._count_by_id[id] += 1
        self._id_by_number[prompt.number] = id
        return id, ()

    def note(self, prompt, now_ms):
        if prompt.ended_ms is not None:
            self._count_by_id[self._id_by_number[prompt.number]] -= 1


class LeastWork(Fewest):
    """Places where the least reading is ahead, without helpers."""

    def place(self, prompt, now_ms):
        work = int(TIME.read_ms(prompt.tokens))
        id = min(self._count_by_id, key=self._count_by_id.get)
        self._count_by_id[id] += work
        self._id_by_number[prompt.number] = (id, work)
        return id, ()

    def note(self, prompt, now_ms):
        entry = self._id_by_number.pop(prompt.number, None)
        if entry is not None:
            self._count_by_id[entry[0]] -= entry[1]


def worth(policy, prompts, paces=()):
    """Return the share of worth that was answered in time, over all and shorts."""
    engines = [
        PassEngine(f"e{n:02}", TIME, paces[n] if n < len(paces) else 1.0)
        for n in range(ENGINES)
    ]
    placing = policy(engines)
    call_next = getattr(placing, "call_next", lambda now_ms: None)
    PassFleet(engines, TIME, placing.place, placing.note, call_next).run(prompts)
    shorts = [p for p in prompts if p.gap_ms == 250.0]
    return _share(prompts), _share(shorts)


def _share(prompts):
    earned = sum(p.weight * (1.0 if p.is_in_time else 0.25) for p in prompts)
    return earned / sum(p.weight for p in prompts)


PATTERNS = {
    "calm": CALM,
    "burst of shorts": CALM | {"short": 37.0, "long": 0.04},
    "burst of longs": CALM | {"short": 5.0, "long": 1.85},
    "both": CALM | {"short": 20.0, "long": 1.0},
}


class TestAgainstSimplerPolicies:
    @pytest.mark.parametrize("pattern", list(PATTERNS))
    def test_more_is_answered_in_time(self, pattern):
        rates = PATTERNS[pattern]
        ours, ours_shorts = worth(Ours, load(rates, 30))
        for baseline in (Fewest, LeastWork):
            theirs, theirs_shorts = worth(baseline, load(rates, 30))
            assert ours >= theirs - 0.005, (pattern, baseline.__name__)
            assert ours_shorts >= theirs_shorts - 0.005, (pattern, baseline.__name__)

    @pytest.mark.parametrize("pattern", list(PATTERNS))
    def test_shorts_are_in_time_beside_longs(self, pattern):
        _, shorts = worth(Ours, load(PATTERNS[pattern], 30))
        assert shorts >= 0.97

    def test_some_engines_turn_slow(self):
        paces = [4.0, 4.0]
        ours, shorts = worth(Ours, load(CALM, 30), paces)
        theirs, _ = worth(Fewest, load(CALM, 30), paces)
        assert shorts >= 0.97
        assert ours > theirs


def burst_beyond_all_slots(shorts_per_s, seed):
    """Return calm traffic with ten seconds of too many short prompts."""
    prompts = []
    start_ms = 0.0
    burst = CALM | {"short": shorts_per_s, "long": 0.3}
    for rates, seconds in ((CALM, 4), (burst, 10), (CALM, 8)):
        for prompt in load(rates, seconds, seed):
            prompt.at_ms += start_ms
            prompt.number = len(prompts)
            prompts.append(prompt)
        start_ms += seconds * 1000
    return prompts


class TestWaiting:
    """Pattern: for ten seconds more short prompts than all slots can serve."""

    @pytest.mark.parametrize("shorts_per_s", [75, 95])
    def test_more_are_in_time_than_in_the_engines_queues(self, shorts_per_s):
        queued, _ = worth(Ours, burst_beyond_all_slots(shorts_per_s, 1))
        waited, _ = worth(Waiting, burst_beyond_all_slots(shorts_per_s, 1))
        assert waited > queued + 0.1

    def test_long_prompts_keep_their_share(self):
        longs = {}
        for policy in (Ours, Waiting):
            prompts = burst_beyond_all_slots(95, 1)
            worth(policy, prompts)
            longs[policy] = _share([p for p in prompts if p.gap_ms > 250.0])
        assert longs[Waiting] >= longs[Ours]

    @pytest.mark.parametrize("pattern", list(PATTERNS))
    def test_nothing_is_lost_where_slots_suffice(self, pattern):
        queued, _ = worth(Ours, load(PATTERNS[pattern], 30))
        waited, _ = worth(Waiting, load(PATTERNS[pattern], 30))
        assert waited >= queued - 0.005


class TestSimulation:
    def test_a_prompt_alone_takes_what_the_model_says(self):
        prompt = Prompt(0, 0.0, 45_000, 430, 1500.0, 600.0, 1.0)
        engine = PassEngine("e", TIME)
        PassFleet([engine], TIME, lambda p, now: (EndpointId("e"), ())).run([prompt])
        expected = TIME.read_ms(45_000) + TIME.pass_ms(1, 45_000)
        assert prompt.first_ms == pytest.approx(expected, rel=0.1)
        assert prompt.ended_ms == pytest.approx(
            expected + 9 * TIME.pass_ms(1, 45_000), rel=0.1
        )

    def test_helpers_share_the_reading(self):
        prompt = Prompt(0, 0.0, 133_000, 430, 3000.0, 1000.0, 1.0)
        engines = [PassEngine(f"e{n}", TIME) for n in range(4)]
        helpers = [EndpointId(f"e{n}") for n in range(1, 4)]
        place = lambda p, now: (EndpointId("e0"), helpers)  # noqa: E731
        PassFleet(engines, TIME, place).run([prompt])
        expected = TIME.read_ms(133_000, 4) + TIME.pass_ms(1, 133_000)
        assert prompt.first_ms == pytest.approx(expected, rel=0.15)
