"""Keeps requests with a part that crashes engines away from the engines."""

import logging

import trio

from ...core import PartDecision, PromptPartId, RefusedPart
from ...errors import SuspectRequestError
from .._fleet import FleetState
from .._request_context import RequestContext

logger = logging.getLogger("foxtailsaddle.crashes")

SUCCESS_RUN_S = 1.0  # from the first event; an engine that crashes does so long before
TRIAL_MARGIN_S = 0.5  # added to the predicted time until a trial has run successfully
REPEAT_WAIT_S = 1.0  # for another request's trial, before a broken answer is given up
REPEAT_POLL_S = 0.05
ANNOUNCE_DELAY_S = 0.15  # until the evidence of a crash is complete


class PartChecks:
    """Checks the parts of a prompt before a request is sent to an engine."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet

    def check_arrival(self, context: RequestContext) -> None:
        """Refuse a request at once if a part of its prompt crashes engines.

        :raises SuspectRequestError: names the part.
        """
        decision = self._decide(context)
        if decision.refused_part is not None:
            raise self._error(context, decision)

    async def check_attempt(
        self, context: RequestContext, first_event_s: float
    ) -> None:
        """Check a request directly before it is sent, and claim a trial if it is one.

        A request whose answer has broken off waits for the trial of another one.

        :param first_event_s: predicted time until the first event.
        :raises SuspectRequestError: a part of the prompt is refused.
        """
        ends_at = trio.current_time() + (REPEAT_WAIT_S if context.broke_off else 0.0)
        decision = self._decide(context)
        while decision.refused_part is not None:
            if trio.current_time() + decision.retry_after_s > ends_at:
                raise self._error(context, decision)
            await trio.sleep(REPEAT_POLL_S)
            decision = self._decide(context)
        if decision.trial_parts:
            self._claim_trial(context, decision, first_event_s)

    def record_progress(
        self, context: RequestContext, first_event_at: float, now: float
    ) -> None:
        """Record an event of a stream, which may show that its parts are harmless."""
        if not context.has_succeeded and now - first_event_at >= SUCCESS_RUN_S:
            self.record_success(context, now)

    def record_success(self, context: RequestContext, now: float) -> None:
        """Record that a request has run well past the point of a crash."""
        context.has_succeeded = True
        parts = context.request.shared_prompt_parts
        self._fleet.record_success(context.fingerprint, parts, now)

    def _decide(self, context: RequestContext) -> PartDecision:
        return self._fleet.part_guard.decide(
            context.request.shared_prompt_parts,
            trio.current_time(),
            is_repeat=context.broke_off,
        )

    def _claim_trial(
        self, context: RequestContext, decision: PartDecision, first_event_s: float
    ) -> None:
        for_s = first_event_s + SUCCESS_RUN_S + TRIAL_MARGIN_S
        self._fleet.claim_part_trial(decision.trial_parts, for_s, trio.current_time())
        logger.info(
            "crashes: suspected parts are tried",
            extra={
                "id": context.request.id,
                "parts": decision.trial_parts,
                "for_ms": round(for_s * 1000),
            },
        )

    def _error(
        self, context: RequestContext, decision: PartDecision
    ) -> SuspectRequestError:
        context.log_fields["refused_part"] = decision.refused_part
        return SuspectRequestError(
            f"engines crashed while they answered prompts with the part "
            f'"{decision.refused_part}"',
            retry_after_s=decision.retry_after_s,
        )


class RefusalAnnouncer:
    """Tells the other instances of each part that this one has begun to refuse."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._term_by_part: dict[PromptPartId, float] = {}

    async def announce_later(self) -> None:
        """Wait until the evidence of a crash is complete, then send what is new."""
        await trio.sleep(ANNOUNCE_DELAY_S)
        refused_parts = self._fleet.part_guard.refused_parts(trio.current_time())
        for refused in refused_parts:
            if self._term_by_part.get(refused.part) != refused.term_s:
                self._announce(refused)
        self._term_by_part = {item.part: item.term_s for item in refused_parts}

    def _announce(self, refused: RefusedPart) -> None:
        self._fleet.notifier.notify_part_refused(refused)
        logger.warning(
            "crashes: part refused",
            extra={"part": refused.part, "for_s": round(refused.remaining_s)},
        )
