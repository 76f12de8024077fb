"""The state of admitted requests, and the count of those in flight."""

import dataclasses
import itertools
import math

from ..core import (
    AccountId,
    AttemptId,
    EndpointId,
    Policy,
    PromptPartId,
    ServiceId,
)
from ..errors import NotReadyError
from ..verdicts import Verdict
from ._decision_log import DecisionLog, Step
from ._environment import Environment

MS_PER_S = 1000
SUCCESS_RUN_S = 1.0  # from the first token; an engine that crashes does so long before
VERDICT_ORDER = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The state of one request at the instance that admitted it.

    :param deadline: end of the allowed time, in seconds of the instance's clock.
    :param prompt_tokens: estimated length of the prompt.
    :param rank_penalty_s: seconds by which the request ranks later because its
        account exceeds its share.
    :param rank_wait_start: start of the wait that counts for the rank, in seconds
        of the instance's clock.
    :param needs_group: the prompt does not fit a single endpoint.
    :param last_death: the endpoint crash that the last attempt ran into, if any;
        endpoint and incarnation.
    :param fingerprint: hash of client account and body.
    :param parts: the parts of the prompt that other requests may share.
    :param first_token_at: when the present attempt's first token arrived.
    :param attempts_reached: number of attempts that reached an endpoint.
    :param verdict: the strongest verdict of any attempt so far.
    """

    account: AccountId
    service: ServiceId
    policy: Policy
    attempt: AttemptId
    admitted_at: float
    deadline: float
    env: Environment
    decision_log: DecisionLog
    fingerprint: str
    attempts_reached: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    failed_endpoints: frozenset[EndpointId] = frozenset()
    is_suspect: bool = False
    last_death: str = ""
    parts: tuple[PromptPartId, ...] = ()
    first_token_at: float = math.inf
    prompt_tokens: int = 0
    rank_penalty_s: float = 0.0
    rank_wait_start: float = 0.0
    needs_group: bool = False

    @property
    def request_id(self) -> str:
        """The request id that callers see and logs contain."""
        return self.attempt.request

    @property
    def remaining_s(self) -> float:
        """Seconds until the allowed time ends."""
        return self.deadline - self.env.clock.now()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the request was admitted."""
        return self.env.clock.now() - self.admitted_at

    @property
    def rank_wait_s(self) -> float:
        """Seconds of waiting that count for the rank; negative ranks later."""
        return self.env.clock.now() - self.rank_wait_start - self.rank_penalty_s

    @property
    def suspected_parts(self) -> tuple[PromptPartId, ...]:
        """Parts that may be at fault if the engine crashes now."""
        ran_s = self.env.clock.now() - self.first_token_at
        return self.parts if ran_s < SUCCESS_RUN_S else ()

    def record(self, decision: str, reason: str) -> None:
        """Write a decision about this request into the decision log."""
        at_ms = int(self.elapsed_s * MS_PER_S)
        self.decision_log.record(self.request_id, Step(at_ms, decision, reason))

    def strengthen_verdict(self, verdict: Verdict) -> None:
        """Strengthen the verdict; it never becomes weaker."""
        self.verdict = max(self.verdict, verdict, key=VERDICT_ORDER.index)


class RequestRegistry:
    """Assigns ids to admitted requests and counts those in flight."""

    def __init__(self, env: Environment, decision_log: DecisionLog) -> None:
        self._env = env
        self._decision_log = decision_log
        self._request_numbers = itertools.count(1)
        self._in_flight_by_account: dict[str, int] = {}
        self.in_flight = 0

    def open(
        self,
        account: AccountId,
        service: ServiceId,
        policy: Policy,
        allowed_s: float | None,
        fingerprint: str,
    ) -> RequestContext:
        """Register a request and return its context.

        :raises NotReadyError: the account has too many requests in flight here.
        """
        in_flight = self._in_flight_by_account.get(account, 0)
        if in_flight >= policy.max_concurrent:
            raise NotReadyError(
                f'client account "{account}" already has {in_flight} requests '
                f"at this instance",
                retry_after_s=1,
            )
        self._in_flight_by_account[account] = in_flight + 1
        self.in_flight += 1
        self._env.metrics.in_flight.set({}, self.in_flight)
        allowed_time_s = min(
            allowed_s or policy.allowed_time_s, policy.max_allowed_time_s
        )
        now = self._env.clock.now()
        attempt = AttemptId(
            instance=self._env.settings.id,
            incarnation=self._env.incarnation,
            counter=next(self._request_numbers),
            number=1,
            deadline_ms=self._env.clock.wall_ms() + int(allowed_time_s * MS_PER_S),
        )
        return RequestContext(
            account=account,
            service=service,
            policy=policy,
            attempt=attempt,
            admitted_at=now,
            rank_wait_start=now,
            deadline=now + allowed_time_s,
            env=self._env,
            decision_log=self._decision_log,
            fingerprint=fingerprint,
        )

    def close(self, context: RequestContext) -> None:
        """Unregister a request that has ended, in whatever way."""
        self.in_flight -= 1
        self._env.metrics.in_flight.set({}, self.in_flight)
        remaining = self._in_flight_by_account[context.account] - 1
        if remaining:
            self._in_flight_by_account[context.account] = remaining
        else:
            del self._in_flight_by_account[context.account]
