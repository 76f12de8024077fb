"""One admitted request on its way."""

import dataclasses
import itertools

from ..core import AccountId, AttemptId, EndpointId, Policy, ServiceId
from ..errors import NotReadyError
from ..verdicts import Verdict
from ._environment import Environment
from ._journal import Journal, Step

MS_PER_S = 1000
VERDICT_ORDER = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


@dataclasses.dataclass(slots=True)
class Trip:
    """The state of one request at the instance that admitted it.

    :param deadline: when the allowed time ends, on the instance's clock.
    :param tokens: estimate of the prompt's length.
    :param lag_s: seconds by which it ranks later, as its account is over its share.
    :param ranked_from: when its present work began to wait.
    :param grouped: the prompt is larger than one endpoint.
    :param death: the endpoint's death that its last attempt has met, if any.
    :param fingerprint: digest of client account and body.
    :param reached: attempts that reached an endpoint.
    :param verdict: the strongest that any attempt has given cause for.
    """

    account: AccountId
    service: ServiceId
    policy: Policy
    attempt: AttemptId
    admitted_at: float
    deadline: float
    env: Environment
    journal: Journal
    fingerprint: str
    reached: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    failed: frozenset[EndpointId] = frozenset()
    suspect: bool = False
    death: str = ""
    tokens: int = 0
    lag_s: float = 0.0
    ranked_from: float = 0.0
    grouped: bool = False

    @property
    def request_id(self) -> str:
        """The id that callers and logs know the request by."""
        return self.attempt.request

    @property
    def left_s(self) -> float:
        """Seconds until the allowed time ends."""
        return self.deadline - self.env.clock.now()

    @property
    def waited_s(self) -> float:
        """Seconds since the request was admitted."""
        return self.env.clock.now() - self.admitted_at

    @property
    def ranked_wait_s(self) -> float:
        """Seconds of waiting that count for its rank; below zero ranks later."""
        return self.env.clock.now() - self.ranked_from - self.lag_s

    def note(self, decision: str, reason: str) -> None:
        """Write a decision into the journal."""
        at_ms = int(self.waited_s * MS_PER_S)
        self.journal.note(self.request_id, Step(at_ms, decision, reason))

    def raise_verdict(self, verdict: Verdict) -> None:
        """Strengthen the verdict; it never becomes weaker."""
        self.verdict = max(self.verdict, verdict, key=VERDICT_ORDER.index)


class TripDesk:
    """Gives each admitted request its ids and counts those in flight."""

    def __init__(self, env: Environment, journal: Journal) -> None:
        self._env = env
        self._journal = journal
        self._numbers = itertools.count(1)
        self._concurrent_by_account: dict[str, int] = {}
        self.in_flight = 0

    def open(
        self,
        account: AccountId,
        service: ServiceId,
        policy: Policy,
        allowed_s: float | None,
        fingerprint: str,
    ) -> Trip:
        """Open a trip.

        :raises NotReadyError: the account has too many requests here already.
        """
        running = self._concurrent_by_account.get(account, 0)
        if running >= policy.max_concurrent:
            raise NotReadyError(
                f'client account "{account}" has {running} requests here already',
                retry_after_s=1,
            )
        self._concurrent_by_account[account] = running + 1
        self.in_flight += 1
        self._env.metrics.in_flight.set({}, self.in_flight)
        time_s = min(allowed_s or policy.allowed_time_s, policy.max_allowed_time_s)
        now = self._env.clock.now()
        attempt = AttemptId(
            instance=self._env.settings.id,
            incarnation=self._env.incarnation,
            counter=next(self._numbers),
            number=1,
            deadline_ms=self._env.clock.wall_ms() + int(time_s * MS_PER_S),
        )
        return Trip(
            account=account,
            service=service,
            policy=policy,
            attempt=attempt,
            admitted_at=now,
            ranked_from=now,
            deadline=now + time_s,
            env=self._env,
            journal=self._journal,
            fingerprint=fingerprint,
        )

    def close(self, trip: Trip) -> None:
        """Close a trip that has ended in any way."""
        self.in_flight -= 1
        self._env.metrics.in_flight.set({}, self.in_flight)
        left = self._concurrent_by_account[trip.account] - 1
        if left:
            self._concurrent_by_account[trip.account] = left
        else:
            del self._concurrent_by_account[trip.account]
