"""Admission checks: account rate limits and quarantine of crashing requests.

Each limit key and each request fingerprint is owned by one instance, which
decides for the whole fleet.
"""

import math

import trio

from ..core import (
    AccountId,
    Allowance,
    CrashGuard,
    InstanceId,
    Members,
    OwnerLimits,
    Policy,
    RecentRate,
    ServiceId,
    owner_of,
)
from ..errors import LimitExceededError, QuarantinedError
from ..ports import (
    Ended,
    GrantReply,
    GrantRequest,
    PeerMessage,
    StartReply,
    StartRequest,
    Suspicion,
)
from ._environment import Environment

OWNER_TIMEOUT_S = 0.1
MAX_INLINE_WAIT_S = 0.1
MIN_WAIT_S = 0.005
GRANT_RATE_IDLE_S = 60.0
MAX_SUSPICIONS_PER_HEARTBEAT = 8
DEATH_MEMORY_S = 600.0  # for which an endpoint's crash counts against a request


class RateLimiter:
    """Enforces the rate limits of client accounts across all instances."""

    def __init__(self, env: Environment, members: Members) -> None:
        self._env = env
        self._members = members
        self._owned_limits = OwnerLimits()
        self._fallback_limits = OwnerLimits()
        self._owners: list[InstanceId] = []
        self._granted_rate_by_key: dict[str, RecentRate] = {}
        self._unreachable_owner_keys: set[str] = set()

    async def admit(
        self,
        account: AccountId,
        service: ServiceId,
        tokens: int,
        allowance: Allowance,
    ) -> float:
        """Count one request against its account's limits.

        If the request may run within ``MAX_INLINE_WAIT_S``, it waits here instead of
        being refused, because a retry by the caller would take about as long.

        :returns: seconds by which the request ranks later, as a penalty for
            an account that exceeds its share.
        :raises LimitExceededError: with the seconds after which to retry.
        """
        request = GrantRequest(
            key=f"{account}/{service}",
            tokens=tokens,
            requests_per_s=allowance.requests_per_s,
            tokens_per_s=allowance.tokens_per_s,
            share_tokens_per_s=allowance.share_tokens_per_s,
        )
        deadline = self._env.clock.now() + MAX_INLINE_WAIT_S
        while True:
            reply = await self._ask_owner(request)
            if not reply.wait_s:
                return reply.lag_s
            wait_s = max(reply.wait_s, MIN_WAIT_S)
            if self._env.clock.now() + wait_s > deadline:
                raise LimitExceededError(
                    f'client account "{account}" is over its limit at "{service}"',
                    retry_after_s=wait_s,
                )
            await trio.sleep(wait_s)

    def grant(self, request: GrantRequest) -> GrantReply:
        """Grant or delay a request, as the owner of the limit key."""
        self._track_owners()
        return self._take(self._owned_limits, request, 1.0)

    def forget_idle(self) -> None:
        """Drop the state of limit keys that have been idle."""
        self._track_owners()
        now = self._env.clock.now()
        self._owned_limits.forget_idle(now)
        idle_keys = [
            key
            for key, rate in self._granted_rate_by_key.items()
            if now - rate.updated_at > GRANT_RATE_IDLE_S
        ]
        for key in idle_keys:
            del self._granted_rate_by_key[key]
        self._fallback_limits.forget_idle(now)

    def _track_owners(self) -> None:
        now = self._env.clock.now()
        owners = self._members.owners(now)
        if owners != self._owners:
            self._owners = owners
            self._owned_limits.record_owner_change(now)

    async def _ask_owner(self, request: GrantRequest) -> GrantReply:
        owner_id = _owner_of_key(f"account:{request.key}", self._env, self._members)
        if owner_id == self._members.own.id:
            reply = self.grant(request)
            self._record_granted(request, reply)
            return reply
        member = self._members.get(owner_id)
        reply = await self._env.links.ask(member, request, OWNER_TIMEOUT_S)
        if isinstance(reply, GrantReply):
            self._unreachable_owner_keys.discard(request.key)
            self._record_granted(request, reply)
            return reply
        if request.key not in self._unreachable_owner_keys:
            self._unreachable_owner_keys.add(request.key)
            self._fallback_limits.forget(request.key)
            self._fallback_limits.record_owner_change(self._env.clock.now())
        return self._take(
            self._fallback_limits, request, self._fallback_fraction(request)
        )

    def _record_granted(self, request: GrantRequest, reply: GrantReply) -> None:
        if reply.wait_s:
            return
        now = self._env.clock.now()
        self._granted_rate_by_key.setdefault(request.key, RecentRate()).add(1, now)

    def _fallback_fraction(self, request: GrantRequest) -> float:
        """Return the fraction of an allowance to use while the owner is unreachable.

        That is the fraction that the owner recently granted to this instance; it is
        up to 1 when the load balancer sends most of the account's requests here. At
        least an equal share among the instances is used.
        """
        now = self._env.clock.now()
        even_fraction = 1 / len(self._members.owners(now))
        granted_rate = self._granted_rate_by_key.get(request.key)
        if granted_rate is None:
            return even_fraction
        return min(
            1.0, max(even_fraction, granted_rate.at(now) / request.requests_per_s)
        )

    def _take(
        self, limits: OwnerLimits, request: GrantRequest, fraction: float
    ) -> GrantReply:
        allowance = Allowance(
            request.requests_per_s * fraction,
            request.tokens_per_s * fraction,
            request.share_tokens_per_s * fraction,
        )
        now = self._env.clock.now()
        grant = limits.take(request.key, request.tokens, allowance, now)
        return GrantReply(grant.wait_s, grant.lag_s)


class CrashQuarantine:
    """Keeps a request that crashes endpoints from reaching more of them.

    Requests are identified by a fingerprint, so resent copies count together.
    """

    def __init__(self, env: Environment, members: Members) -> None:
        self._env = env
        self._members = members
        self._guard = CrashGuard(DEATH_MEMORY_S)

    async def request_start(
        self, fingerprint: str, request: str, remaining_s: float, death: str = ""
    ) -> StartReply:
        """Ask whether a copy of the request may run.

        :param death: the endpoint crash that this copy has just run into, if any.
            It is sent in the same message, so that it is counted first.
        :raises QuarantinedError: too many endpoints crashed while running it.
        """
        message = StartRequest(fingerprint, request, remaining_s, death)
        owner_id = self._owner_of(fingerprint)
        reply = None
        if owner_id != self._members.own.id:
            member = self._members.get(owner_id)
            reply = await self._env.links.ask(member, message, OWNER_TIMEOUT_S)
        if not isinstance(reply, StartReply):
            reply = self.decide_start(message)
        if reply.deaths >= 2:
            raise QuarantinedError(
                "endpoints crashed while running this request; it is not run again",
                retry_after_s=reply.wait_s,
            )
        return reply

    def decide_start(self, message: StartRequest) -> StartReply:
        """Decide whether a copy may start, as the owner of the fingerprint."""
        now = self._env.clock.now()
        expires_at = now + message.left_s
        if message.death:
            self._guard.record_death(message.fingerprint, message.death, now)
        wait_s = self._guard.start(
            message.fingerprint, message.request, expires_at, now
        )
        return StartReply(wait_s, self._guard.deaths(message.fingerprint, now))

    def report_death(self, fingerprint: str, death: str) -> None:
        """Count the crash that a copy's last attempt ran into, here and at the owner.

        That of an earlier attempt is counted by :meth:`request_start`.
        """
        message = Suspicion(fingerprint, death, DEATH_MEMORY_S)
        self.record_suspicion(message)
        self._tell_owner(fingerprint, message)

    def report_end(self, fingerprint: str, request: str, completed: bool) -> None:
        """Record that a copy has ended, here and at the fingerprint's owner."""
        message = Ended(fingerprint, request, completed)
        self.record_ended(message)
        self._tell_owner(fingerprint, message)

    def record_ended(self, message: Ended) -> None:
        """Record that a copy has ended."""
        self._guard.end(message.fingerprint, message.request, message.whole)

    def record_suspicion(self, message: Suspicion) -> None:
        """Record an endpoint crash that a peer reports."""
        now = self._env.clock.now()
        self._guard.record_death(
            message.fingerprint, message.death, now, message.left_s
        )

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return the crashes to report in a heartbeat, a random sample if many."""
        suspicions = self._guard.suspicions(self._env.clock.now())
        if len(suspicions) > MAX_SUSPICIONS_PER_HEARTBEAT:
            suspicions = self._env.random.sample(
                suspicions, MAX_SUSPICIONS_PER_HEARTBEAT
            )
        return tuple(Suspicion(*item) for item in suspicions)

    def _owner_of(self, fingerprint: str) -> InstanceId:
        return _owner_of_key(f"crash:{fingerprint}", self._env, self._members)

    def _tell_owner(self, fingerprint: str, message: PeerMessage) -> None:
        owner_id = self._owner_of(fingerprint)
        member = self._members.get(owner_id)
        if owner_id != self._members.own.id and member is not None:
            self._env.links.tell(member, message)


def account_allowance(
    policy: Policy, service_tokens_per_s: float = math.inf
) -> Allowance:
    """Return the allowance of a policy.

    :param service_tokens_per_s: prefill rate of the whole service; infinite for a
        service whose calls are not ranked by the account's share.
    """
    return Allowance(
        requests_per_s=policy.requests_per_s,
        tokens_per_s=policy.tokens_per_s,
        share_tokens_per_s=max(1.0, policy.fleet_share * service_tokens_per_s),
    )


def _owner_of_key(key: str, env: Environment, members: Members) -> InstanceId:
    return InstanceId(owner_of(key, members.owners(env.clock.now())))
