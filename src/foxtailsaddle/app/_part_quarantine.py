"""Keeps chats with a message that crashes engines away from the engines."""

import logging
import zlib

from ..core import (
    CrashId,
    EndpointId,
    Members,
    PartDecision,
    PromptPartGuard,
    RefusalReply,
    RefusedPart,
)
from ..errors import QuarantinedError
from ..ports import ClearedParts, PartTrial, PeerMessage, SuspectedParts
from ._environment import Environment
from ._request_context import RequestContext

logger = logging.getLogger("foxtailsaddle.gateway")

MAX_TRIAL_S = 30.0  # a longer wait is a refusal
MAX_REFUSED_PARTS_PER_HEARTBEAT = 8


class PartQuarantine:
    """Refuses requests with a part of their prompt that crashes engines.

    Each instance decides on its own. Crashes, trials and successful runs are told to
    all others at once, and refusals with the heartbeats.
    """

    def __init__(self, env: Environment, members: Members) -> None:
        self._env = env
        self._members = members
        self._guard = PromptPartGuard()

    def check_arrival(self, context: RequestContext) -> None:
        """Refuse a request at once if a part of its prompt crashes engines.

        :raises QuarantinedError: a part is refused, or is being tried by another
            request.
        """
        decision = self._decide(context)
        if decision.refused_part is not None:
            raise _quarantined_error(decision)

    def claim_start(self, context: RequestContext) -> float:
        """Return 0 if a request may be sent now, otherwise the seconds to wait.

        Only a request that an engine has worked on waits for the trial of another.

        :raises QuarantinedError: a part of the prompt is refused.
        """
        decision = self._decide(context)
        if decision.refused_part is None:
            self._claim_trial(context, decision)
            return 0.0
        if context.attempt.number == 1 or decision.retry_after_s > MAX_TRIAL_S:
            raise _quarantined_error(decision)
        return decision.retry_after_s

    def report_crash(self, context: RequestContext) -> None:
        """Count the crash that the last attempt ran into, here and at the peers."""
        message = SuspectedParts(context.last_death, context.suspected_parts)
        if message.death and message.parts:
            self.record_crash(message)
            self._tell_peers(message)

    def report_success(self, context: RequestContext) -> None:
        """Record a complete answer; tell the peers if it clears a suspicion."""
        if self._guard.record_success(context.parts, self._env.clock.now()):
            self._tell_peers(ClearedParts(context.parts))

    def record_crash(self, message: SuspectedParts) -> None:
        """Record an endpoint crash of this instance's request or of a peer's."""
        now = self._env.clock.now()
        self._guard.record_crash(_crash_id(message.death), message.parts, now)
        logger.warning(
            "crashes: parts suspected",
            extra={"death": message.death, "parts": len(message.parts)},
        )

    def record_success(self, message: ClearedParts) -> None:
        """Record that a peer's request with these parts was answered completely."""
        self._guard.record_success(message.parts, self._env.clock.now())

    def record_trial(self, message: PartTrial) -> None:
        """Record that a request tries suspected parts."""
        now = self._env.clock.now()
        self._guard.claim_trial(message.parts, message.for_s, now)

    def refuse(self, refused: RefusedPart) -> None:
        """Refuse a part that a peer refuses."""
        reply = self._guard.refuse(refused, self._env.clock.now())
        if reply is RefusalReply.ACCEPTED:
            logger.info(
                "crashes: part refused by another instance",
                extra={"part": refused.part, "for_s": round(refused.remaining_s)},
            )

    def refused_parts(self) -> tuple[RefusedPart, ...]:
        """Return the refusals to send in a heartbeat, a random sample if many."""
        refused = self._guard.refused_parts(self._env.clock.now())
        if len(refused) > MAX_REFUSED_PARTS_PER_HEARTBEAT:
            refused = self._env.random.sample(refused, MAX_REFUSED_PARTS_PER_HEARTBEAT)
        return tuple(refused)

    def _decide(self, context: RequestContext) -> PartDecision:
        return self._guard.decide(
            context.parts, self._env.clock.now(), is_repeat=context.is_suspect
        )

    def _claim_trial(self, context: RequestContext, decision: PartDecision) -> None:
        if not decision.trial_parts:
            return
        for_s = min(MAX_TRIAL_S, context.remaining_s)
        message = PartTrial(decision.trial_parts, for_s)
        self.record_trial(message)
        self._tell_peers(message)
        context.record("trial", f"of {len(decision.trial_parts)} suspected parts")

    def _tell_peers(self, message: PeerMessage) -> None:
        for member in self._members.known():
            self._env.links.tell(member, message)


def _crash_id(death: str) -> CrashId:
    """Return the name of a crash, given as endpoint and incarnation."""
    endpoint, _, incarnation = death.rpartition("/")
    return CrashId(EndpointId(endpoint), zlib.crc32(incarnation.encode()))


def _quarantined_error(decision: PartDecision) -> QuarantinedError:
    return QuarantinedError(
        "endpoints crashed while running requests that share a message with this one",
        retry_after_s=decision.retry_after_s,
    )
