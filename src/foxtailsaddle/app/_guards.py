"""Asks the homes of accounts and fingerprints whether a request may run."""

import trio

from ..core import (
    AccountId,
    Allowance,
    CrashGuard,
    HomeLimits,
    InstanceId,
    Members,
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
    StartReply,
    StartRequest,
    Suspicion,
)
from ._environment import Environment

HOME_TIMEOUT_S = 0.1
SHORT_WAIT_S = 0.1
MIN_WAIT_S = 0.005
IDLE_S = 60.0
SUSPICIONS_PER_BEAT = 8


class LimitGuard:
    """Holds the limits of client accounts over all instances."""

    def __init__(self, env: Environment, members: Members) -> None:
        self._env = env
        self._members = members
        self._home = HomeLimits()
        self._share = HomeLimits()
        self._owners: list[InstanceId] = []
        self._granted_by_key: dict[str, RecentRate] = {}
        self._silent_keys: set[str] = set()

    async def admit(
        self,
        account: AccountId,
        service: ServiceId,
        tokens: int,
        allowance: Allowance,
    ) -> float:
        """Count one request; return the seconds by which it ranks later.

        A wait that is shorter than a caller's way back is waited out here.

        :raises LimitExceededError: with the seconds after which to come back.
        """
        request = GrantRequest(
            key=f"{account}/{service}",
            tokens=tokens,
            requests_per_s=allowance.requests_per_s,
            tokens_per_s=allowance.tokens_per_s,
            share_tokens_per_s=allowance.share_tokens_per_s,
        )
        give_up_at = self._env.clock.now() + SHORT_WAIT_S
        while True:
            reply = await self._ask_home(request)
            if not reply.wait_s:
                return reply.lag_s
            wait_s = max(reply.wait_s, MIN_WAIT_S)
            if self._env.clock.now() + wait_s > give_up_at:
                raise LimitExceededError(
                    f'client account "{account}" is over its limit at "{service}"',
                    retry_after_s=wait_s,
                )
            await trio.sleep(wait_s)

    def answer(self, request: GrantRequest) -> GrantReply:
        """Decide as the home of the account."""
        self._note_owners()
        return self._take(self._home, request, 1.0)

    def forget_idle(self) -> None:
        """Drop what was not used for a while."""
        self._note_owners()
        now = self._env.clock.now()
        self._home.forget_idle(now)
        idle = [
            key
            for key, recent in self._granted_by_key.items()
            if now - recent.updated_at > IDLE_S
        ]
        for key in idle:
            del self._granted_by_key[key]
        self._share.forget_idle(now)

    def _note_owners(self) -> None:
        now = self._env.clock.now()
        owners = self._members.owners(now)
        if owners != self._owners:
            self._owners = owners
            self._home.settle(now)

    async def _ask_home(self, request: GrantRequest) -> GrantReply:
        home = _home_of(f"account:{request.key}", self._env, self._members)
        if home == self._members.own.id:
            reply = self.answer(request)
            self._note_granted(request, reply)
            return reply
        member = self._members.get(home)
        reply = await self._env.links.ask(member, request, HOME_TIMEOUT_S)
        if isinstance(reply, GrantReply):
            self._silent_keys.discard(request.key)
            self._note_granted(request, reply)
            return reply
        if request.key not in self._silent_keys:
            self._silent_keys.add(request.key)
            self._share.forget(request.key)
            self._share.settle(self._env.clock.now())
        return self._take(self._share, request, self._own_part(request))

    def _note_granted(self, request: GrantRequest, reply: GrantReply) -> None:
        if reply.wait_s:
            return
        now = self._env.clock.now()
        self._granted_by_key.setdefault(request.key, RecentRate()).add(1, now)

    def _own_part(self, request: GrantRequest) -> float:
        """Return the part of an allowance to admit while the home is silent.

        That is what the home granted this instance lately, which under a
        skewed balancer may be all of it, or else the even part.
        """
        now = self._env.clock.now()
        even = 1 / len(self._members.owners(now))
        recent = self._granted_by_key.get(request.key)
        if recent is None:
            return even
        return min(1.0, max(even, recent.at(now) / request.requests_per_s))

    def _take(
        self, limits: HomeLimits, request: GrantRequest, part: float
    ) -> GrantReply:
        allowance = Allowance(
            request.requests_per_s * part,
            request.tokens_per_s * part,
            request.share_tokens_per_s * part,
        )
        now = self._env.clock.now()
        grant = limits.take(request.key, request.tokens, allowance, now)
        return GrantReply(grant.wait_s, grant.lag_s)


class CrashWatch:
    """Keeps a request that crashes endpoints from reaching more of them."""

    def __init__(self, env: Environment, members: Members) -> None:
        self._env = env
        self._members = members
        self._guard = CrashGuard()

    async def start(
        self, fingerprint: str, request: str, left_s: float, death: str = ""
    ) -> StartReply:
        """Ask whether a copy of the request may run.

        :param death: the endpoint's death that this copy has just met, if any.
            It travels in the same message, so that it is counted first.

        :raises QuarantinedError: too many endpoints died under it.
        """
        message = StartRequest(fingerprint, request, left_s, death)
        home = self._home(fingerprint)
        reply = None
        if home != self._members.own.id:
            member = self._members.get(home)
            reply = await self._env.links.ask(member, message, HOME_TIMEOUT_S)
        if not isinstance(reply, StartReply):
            reply = self.answer(message)
        if reply.deaths >= 2:
            raise QuarantinedError(
                "endpoints died while they ran this request; it is not run again",
                retry_after_s=reply.wait_s,
            )
        return reply

    def answer(self, message: StartRequest) -> StartReply:
        """Decide as the home of the fingerprint."""
        now = self._env.clock.now()
        until = now + message.left_s
        if message.death:
            self._guard.note_death(message.fingerprint, message.death, now)
        wait_s = self._guard.start(message.fingerprint, message.request, until, now)
        return StartReply(wait_s, self._guard.deaths(message.fingerprint, now))

    def end(self, fingerprint: str, request: str, whole: bool) -> None:
        """Count a copy as ended, here and at the home."""
        message = Ended(fingerprint, request, whole)
        self.note_ended(message)
        self._tell_home(fingerprint, message)

    def note_ended(self, message: Ended) -> None:
        """Count a copy as ended."""
        self._guard.end(message.fingerprint, message.request, message.whole)

    def note_suspicion(self, message: Suspicion) -> None:
        """Record a death that a peer reports."""
        now = self._env.clock.now()
        self._guard.note_death(message.fingerprint, message.death, now, message.left_s)

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return suspicions for gossip; of many, some at random."""
        found = self._guard.suspicions(self._env.clock.now())
        if len(found) > SUSPICIONS_PER_BEAT:
            found = self._env.random.sample(found, SUSPICIONS_PER_BEAT)
        return tuple(Suspicion(*item) for item in found)

    def _home(self, fingerprint: str) -> InstanceId:
        return _home_of(f"crash:{fingerprint}", self._env, self._members)

    def _tell_home(self, fingerprint: str, message: Ended) -> None:
        home = self._home(fingerprint)
        member = self._members.get(home)
        if home != self._members.own.id and member is not None:
            self._env.links.tell(member, message)


def allowance_of(policy: Policy, service_tokens_per_s: float) -> Allowance:
    """Return what a policy allows at a service of this rate."""
    return Allowance(
        requests_per_s=policy.requests_per_s,
        tokens_per_s=policy.tokens_per_s,
        share_tokens_per_s=max(1.0, policy.fleet_share * service_tokens_per_s),
    )


def _home_of(key: str, env: Environment, members: Members) -> InstanceId:
    return InstanceId(owner_of(key, members.owners(env.clock.now())))
