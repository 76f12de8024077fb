"""Tests for the guarantees under random plans of requests and faults.

``hypothesis`` derives its seed from the source text of the state machine, so an
edit of that class changes the plans that are tried.
"""

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from .fault_injection import (
    ACTIONS,
    FAULTS,
    FAULTS_BESIDE_RESTORES,
    Step,
    random_plan,
    run_plan,
)

GAPS_S = (0.0, 0.05, 0.3, 1.0)
MAX_FAULTS = 6


class StormMachine(RuleBasedStateMachine):
    """Collects a plan rule by rule; at its end the plan runs and is checked."""

    def __init__(self) -> None:
        super().__init__()
        self.plan: list[Step] = []

    @rule(
        action=st.sampled_from(("complete", "sign_off")),
        gap_s=st.sampled_from(GAPS_S),
        pick=st.integers(0, 999),
    )
    def call(self, action: str, gap_s: float, pick: int) -> None:
        self.plan.append(Step(action, gap_s, pick))

    @rule(
        action=st.sampled_from(FAULTS),
        gap_s=st.sampled_from(GAPS_S),
        pick=st.integers(0, 999),
    )
    def fault(self, action: str, gap_s: float, pick: int) -> None:
        if sum(step.action in FAULTS for step in self.plan) < MAX_FAULTS:
            self.plan.append(Step(action, gap_s, pick))

    def teardown(self) -> None:
        run_plan(self.plan)


class RestoreMachine(StormMachine):
    """Collects plans in which the platform is restored from backups."""

    @rule(gap_s=st.sampled_from(GAPS_S), pick=st.integers(0, 999))
    def restore(self, gap_s: float, pick: int) -> None:
        self.plan.append(Step("restore", gap_s, pick))

    def teardown(self) -> None:
        run_plan([step for step in self.plan if step.action != "kill_instance"])


COMMON_SETTINGS = settings(
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
StormMachine.TestCase.settings = settings(COMMON_SETTINGS, max_examples=25)
RestoreMachine.TestCase.settings = settings(COMMON_SETTINGS, max_examples=10)
TestRandomPlans = StormMachine.TestCase
TestRandomPlansWithRestores = RestoreMachine.TestCase


class TestSeededPlans:
    def test_fixed_seeds_keep_every_guarantee(self):
        for seed in range(1, 21):
            run_plan(random_plan(seed), seed)

    def test_fixed_seeds_with_restores_keep_every_guarantee(self):
        for seed in range(1, 11):
            run_plan(random_plan(seed, faults=FAULTS_BESIDE_RESTORES), seed)

    def test_every_action_occurs(self):
        actions = {s.action for seed in range(20) for s in random_plan(seed)}
        assert actions == set(ACTIONS) - {"restore"}

    def test_every_action_beside_restores_occurs(self):
        actions = {
            step.action
            for seed in range(20)
            for step in random_plan(seed, faults=FAULTS_BESIDE_RESTORES)
        }
        assert actions == set(ACTIONS) - {"kill_instance"}
