"""Protection against a part of prompts that crashes the engines that answer it.

Load pattern: requests that share one part of their prompt crash each engine that
starts to answer, whatever else they hold. No two are alike, and healthy requests share
their client account and all their other parts, so neither a digest of the request nor
the account tells them apart. Every request that ran at an engine when it crashed is a
suspect.

The evidence is kept by part. Crashes count against a part until a request with it runs
successfully, and only while no part that is already refused explains them. A part with
two such crashes is tried by one request at a time in all instances, and at three it is
refused. Parts that succeeded lately need more crashes, since a part that many healthy
requests hold is found in many crashes without causing them.
"""

import collections
import dataclasses
import heapq
import math
import typing as t
from enum import Enum

from ._ids import EndpointId, PromptPartId

CRASH_MEMORY_S = 120.0  # for which a crash counts against its suspects
SUCCESS_MEMORY_S = 30.0  # for which a successful run speaks for a part
SETTLE_S = 0.1  # from a crash until all requests that ran at the engine are reported
TRIAL_CRASHES = 2  # from which a part is tried by one request at a time
REFUSAL_CRASHES = 3  # from which a part is refused
REFUSAL_CRASHES_AFTER_SUCCESS = 5  # for a part that succeeded lately
REFUSAL_S = 300.0
REFUSAL_GROWTH = 2.0  # of the term, each time that a trial after it fails
MAX_REFUSAL_S = 86_400.0
REPORT_DELAY_S = 1.0  # of a refusal; else reports that go round would prolong it
MAX_CRASHES = 64
MAX_SUSPECTS_OF_CRASH = 256
MAX_SUCCESSFUL_PARTS = 4096
MAX_REFUSED_PARTS = 256
MAX_VOUCHED_PARTS = 64


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CrashId:
    """Names one crash of an engine, however many instances report it.

    :param start: identifies the process that crashed, for an engine that comes back
        under the same id.
    """

    endpoint: EndpointId
    start: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointDeath:
    """A request during which an endpoint crashed.

    :param fingerprint: digest that repetitions of the same request share.
    :param suspects: the shared parts of the request's prompt; empty if it had run
        successfully.
    :param age_s: time since the crash.
    """

    fingerprint: str
    crash: CrashId
    suspects: tuple[PromptPartId, ...] = ()
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PartDecision:
    """Whether a request may be sent to an engine.

    :param refused_part: the part that forbids it; ``None`` if the request may be sent.
    :param retry_after_s: time until a request with the part may be sent; 0 if it may
        be now.
    :param trial_parts: parts whose trial this request would be. They have to be
        claimed with :meth:`PromptPartGuard.claim_trial` before it is sent.
    """

    refused_part: PromptPartId | None = None
    retry_after_s: float = 0.0
    trial_parts: tuple[PromptPartId, ...] = ()


class RefusalReply(Enum):
    """What an instance makes of another one's refusal of a part."""

    ACCEPTED = "accepted"
    KNOWN = "known"  # it refuses the part already
    DISPUTED = "disputed"  # the part has succeeded here lately


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedPart:
    """A part whose requests are refused.

    :param remaining_s: time until it may be tried again.
    :param term_s: length of the refusal, from which the next one is worked out.
    """

    part: PromptPartId
    remaining_s: float
    term_s: float


@dataclasses.dataclass(slots=True)
class _Crash:
    """One crash of an engine.

    :ivar depth_by_part: the suspected parts, and the position of each in its prompt.
    """

    at: float
    depth_by_part: dict[PromptPartId, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Successes:
    count: int = 0
    last_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class _Refusal:
    until: float
    term_s: float


class PromptPartGuard:
    """Finds the parts of prompts that crash engines, and refuses their requests.

    All tables are bounded, since callers choose the parts.
    """

    def __init__(self) -> None:
        self._crash_by_id: dict[CrashId, _Crash] = {}
        self._successes_by_part: collections.OrderedDict[PromptPartId, _Successes] = (
            collections.OrderedDict()
        )
        self._refusal_by_part: dict[PromptPartId, _Refusal] = {}
        self._trial_ends_at_by_part: dict[PromptPartId, float] = {}
        self._contested: set[PromptPartId] = set()
        self._decide_at = math.inf

    def record_crash(
        self,
        crash: CrashId,
        suspects: t.Sequence[PromptPartId],
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Record parts of a request that ran at an engine when it crashed.

        :param suspects: the parts in the order of the prompt, without those of a
            request that had run successfully.
        :param age_s: time since the crash.
        """
        self._expire(now)
        record = self._crash_by_id.setdefault(crash, _Crash(now - age_s))
        for depth, part in enumerate(suspects):
            if len(record.depth_by_part) < MAX_SUSPECTS_OF_CRASH:
                record.depth_by_part.setdefault(part, depth)
            self._trial_ends_at_by_part.pop(part, None)
            self._renew_refusal(part, now)
        if len(self._crash_by_id) > MAX_CRASHES:
            del self._crash_by_id[next(iter(self._crash_by_id))]
        self._decide_at = min(self._decide_at, now + SETTLE_S)

    def record_success(
        self, parts: t.Iterable[PromptPartId], now: float, age_s: float = 0.0
    ) -> bool:
        """Record that a request with these parts has run successfully.

        That is well past the point at which a part at fault would have crashed the
        engine.

        :param age_s: time since then.
        :returns: whether that clears any of the parts of a suspicion, here or at
            another instance.
        """
        cleared = False
        for part in parts:
            runs = self._successes_by_part.setdefault(part, _Successes())
            self._successes_by_part.move_to_end(part)
            runs.count += 1
            runs.last_at = max(runs.last_at, now - age_s)
            cleared |= self._clear(part, now)
        while len(self._successes_by_part) > MAX_SUCCESSFUL_PARTS:
            self._successes_by_part.popitem(last=False)
        return cleared

    def decide(
        self, parts: t.Iterable[PromptPartId], now: float, *, is_repeat: bool = False
    ) -> PartDecision:
        """Decide whether a request with these parts may be sent to an engine.

        :param is_repeat: an answer to the request has broken off before. It is then a
            trial of each part that did not succeed lately.
        """
        self._update(now)
        trial_parts = []
        for part in parts:
            if wait_s := self._refused_for_s(part, now):
                return PartDecision(part, wait_s)
            if self._needs_trial(part, now, is_repeat):
                trial_parts.append(part)
        for part in trial_parts:
            wait_s = self._trial_ends_at_by_part.get(part, now) - now
            if wait_s > 0:
                return PartDecision(part, wait_s)
        return PartDecision(trial_parts=tuple(trial_parts))

    def claim_trial(
        self, parts: t.Iterable[PromptPartId], for_s: float, now: float
    ) -> None:
        """Reserve the trial of parts for one request, of this or another instance.

        :param for_s: time within which the result is known.
        """
        for part in parts:
            if len(self._trial_ends_at_by_part) < MAX_REFUSED_PARTS:
                self._trial_ends_at_by_part[part] = now + for_s

    def refuse(self, refused: RefusedPart, now: float) -> RefusalReply:
        """Refuse a part that another instance has found to be at fault.

        It is not while earlier successful runs speak for it. The next one then clears
        it at all instances.

        """
        known = self._refusal_by_part.get(refused.part)
        if known is None and self.is_vouched(refused.part, now):
            if len(self._contested) < MAX_REFUSED_PARTS:
                self._contested.add(refused.part)
            return RefusalReply.DISPUTED
        until = now + refused.remaining_s
        if known is not None and until <= known.until + REPORT_DELAY_S:
            return RefusalReply.KNOWN
        self._store_refusal(refused.part, until, refused.term_s)
        return RefusalReply.ACCEPTED

    def refused_parts(self, now: float) -> list[RefusedPart]:
        """Return the parts that are refused at present."""
        self._update(now)
        return [
            RefusedPart(part, refusal.until - now, refusal.term_s)
            for part, refusal in self._refusal_by_part.items()
            if refusal.until > now
        ]

    def is_vouched(self, part: PromptPartId, now: float) -> bool:
        """Return whether a part succeeded lately and is not in too many crashes."""
        if part in self._refusal_by_part or not self._succeeded_lately(part, now):
            return False
        return self.crash_count(part) < REFUSAL_CRASHES_AFTER_SUCCESS

    def success_age_s(self, parts: t.Iterable[PromptPartId], now: float) -> float:
        """Return the time since the oldest of the parts' last successes."""
        runs = [self._successes_by_part.get(part, _Successes()) for part in parts]
        return max((now - item.last_at for item in runs), default=math.inf)

    def vouched_parts(self, now: float) -> tuple[PromptPartId, ...]:
        """Return the parts with most successes, for an instance that has seen none."""
        vouched = [
            (runs.count, part)
            for part, runs in self._successes_by_part.items()
            if self.is_vouched(part, now)
        ]
        most = heapq.nlargest(MAX_VOUCHED_PARTS, vouched)
        return tuple(part for _, part in most)

    def crash_count(self, part: PromptPartId) -> int:
        """Return how many crashes count against a part."""
        return len(self._crashes_against(part))

    def _update(self, now: float) -> None:
        self._expire(now)
        if now >= self._decide_at:
            self._decide_at = math.inf
            self._refuse_culprits(now)

    def _refused_for_s(self, part: PromptPartId, now: float) -> float:
        refusal = self._refusal_by_part.get(part)
        return max(0.0, refusal.until - now) if refusal else 0.0

    def _needs_trial(self, part: PromptPartId, now: float, is_repeat: bool) -> bool:
        if part in self._refusal_by_part:  # its term is over
            return True
        if self._succeeded_lately(part, now):
            return False
        return is_repeat or self.crash_count(part) >= TRIAL_CRASHES

    def _succeeded_lately(self, part: PromptPartId, now: float) -> bool:
        runs = self._successes_by_part.get(part)
        return runs is not None and now - runs.last_at <= SUCCESS_MEMORY_S

    def _crashes_against(self, part: PromptPartId) -> list[_Crash]:
        """Return the crashes since a part last succeeded that nothing explains."""
        success_at = self._successes_by_part.get(part, _Successes()).last_at
        return [
            crash
            for crash in self._crash_by_id.values()
            if part in crash.depth_by_part
            and crash.at > success_at
            and not self._is_explained(crash)
        ]

    def _is_explained(self, crash: _Crash) -> bool:
        return not self._refusal_by_part.keys().isdisjoint(crash.depth_by_part)

    def _renew_refusal(self, part: PromptPartId, now: float) -> None:
        """Refuse a part again whose trial after the end of a refusal has failed."""
        refusal = self._refusal_by_part.get(part)
        if refusal is not None and refusal.until <= now:
            term_s = min(MAX_REFUSAL_S, refusal.term_s * REFUSAL_GROWTH)
            self._store_refusal(part, now + term_s, term_s)

    def _refuse_culprits(self, now: float) -> None:
        """Refuse the parts that enough crashes speak against, the likeliest first.

        Each refusal explains crashes, so that fewer count against the other parts.
        """
        while (part := self._likeliest_culprit(now)) is not None:
            self._store_refusal(part, now + REFUSAL_S, REFUSAL_S)

    def _likeliest_culprit(self, now: float) -> PromptPartId | None:
        candidates = []
        for part, depth in self._frequent_suspects().items():
            count = self.crash_count(part)
            succeeded = self._succeeded_lately(part, now)
            needed = REFUSAL_CRASHES_AFTER_SUCCESS if succeeded else REFUSAL_CRASHES
            if count < needed:
                continue
            runs = self._successes_by_part.get(part, _Successes())
            # A part without a recent success comes first, then one in more crashes,
            # then one that fewer requests hold: later parts are more specific.
            candidates.append((not succeeded, count, -runs.count, depth, part))
        return max(candidates)[-1] if candidates else None

    def _frequent_suspects(self) -> dict[PromptPartId, int]:
        """Return the depth of each part that is suspected of several crashes."""
        depth_by_part: dict[PromptPartId, int] = {}
        crashes_by_part: collections.Counter[PromptPartId] = collections.Counter()
        for crash in self._crash_by_id.values():
            depth_by_part |= crash.depth_by_part
            crashes_by_part.update(crash.depth_by_part.keys())
        return {
            part: depth
            for part, depth in depth_by_part.items()
            if crashes_by_part[part] >= REFUSAL_CRASHES
        }

    def _store_refusal(self, part: PromptPartId, until: float, term_s: float) -> None:
        self._refusal_by_part.pop(part, None)
        while len(self._refusal_by_part) >= MAX_REFUSED_PARTS:
            del self._refusal_by_part[next(iter(self._refusal_by_part))]
        self._refusal_by_part[part] = _Refusal(until, term_s)

    def _clear(self, part: PromptPartId, now: float) -> bool:
        """Drop what speaks against a part that succeeded; return whether anything did.

        Crashes after its last success still count.
        """
        was_suspected = part in self._contested
        self._contested.discard(part)
        refusal = self._refusal_by_part.pop(part, None)
        success_at = self._successes_by_part[part].last_at
        for crash in self._crash_by_id.values():
            if part in crash.depth_by_part and crash.at <= success_at:
                was_suspected |= not self._is_explained(crash)
                del crash.depth_by_part[part]
        if not self.is_vouched(part, now):
            if refusal is not None:
                self._refusal_by_part[part] = refusal
            return was_suspected
        if refusal is not None:
            self._decide_at = now  # its crashes are not explained any more
        is_tried = self._trial_ends_at_by_part.pop(part, None) is not None
        return was_suspected or refusal is not None or is_tried

    def _expire(self, now: float) -> None:
        while self._crash_by_id:
            oldest = next(iter(self._crash_by_id))
            if now - self._crash_by_id[oldest].at <= CRASH_MEMORY_S:
                break
            del self._crash_by_id[oldest]
        for part, ends_at in list(self._trial_ends_at_by_part.items()):
            if ends_at <= now:
                del self._trial_ends_at_by_part[part]
