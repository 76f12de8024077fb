"""Keeps requests to the limits that endpoints name for all instances together.

Each request to such an endpoint needs a grant of the one instance that grants them,
chosen by the hash of the endpoint. A grant that gets lost is not used, so what isn't
known only leaves a part of the limit unused.
"""

import collections
import dataclasses
import logging
import math
import secrets

import trio

from ...core import (
    NO_LIMIT,
    GrantReply,
    GrantSchedules,
    InstanceId,
    ListedEndpoint,
    NamedLimit,
    grant_interval_s,
)
from .._fleet import FleetState
from ..peers import NO_INSTANCE, GrantReplied, GrantRequested, Peers, limit_update

logger = logging.getLogger("foxtailsaddle.limits")

REPLY_TIMEOUT_S = 0.1
TRIES = 2
# Until a request for a grant may be repeated at an instance that didn't grant it for
# another reason than the limit.
RETRY_S = 0.3
PASSED_OVER_S = 2.0  # for which an instance that did not answer isn't asked
SUBSTITUTE_SHARE = 0.25  # of a limit, granted beside an instance that may grant all
COLD_FIRST_WAIT_S = 1.0  # the bound on cold endpoints holds for every second
# Of the requests beyond its rate; the rest is for those that arrive unevenly.
COLD_BURST_SHARE = 0.5
MAX_REMEMBERED_REPLIES = 4000
# Random, so that replies to an earlier process are told from those to this one.
FIRST_NUMBER_BITS = 62
NOT_THIS_INSTANCE = GrantReply(False, RETRY_S)


@dataclasses.dataclass(slots=True)
class _PendingGrant:
    """A request for a grant that waits for its reply."""

    reply: GrantReply | None = None
    replied: trio.Event = dataclasses.field(default_factory=trio.Event)


class LimitGate:
    """Asks for the grants of this instance's requests, and grants those of others.

    :param cold_overshoot: how many times the requests per second that it tolerates a
        cold endpoint may get in a second.
    :param cold_slack: requests that a cold endpoint may get in a second in addition.
    """

    def __init__(
        self,
        fleet: FleetState,
        peers: Peers,
        cold_overshoot: float = 1.0,
        cold_slack: float = 0.0,
    ) -> None:
        self._fleet = fleet
        self._cold_burst_s = COLD_BURST_SHARE * max(0.0, cold_overshoot - 1)
        self._cold_overshoot = cold_overshoot
        self._cold_slack = cold_slack
        self._peers = peers
        self._schedules = GrantSchedules()
        self._last_number = secrets.randbits(FIRST_NUMBER_BITS)
        self._pending_by_number: dict[int, _PendingGrant] = {}
        self._reply_by_request: collections.OrderedDict[
            tuple[InstanceId, int], GrantReply
        ] = collections.OrderedDict()
        self._silent_instance = NO_INSTANCE
        self._silent_until = 0.0
        peers.updates.on_grant_requested = self._answer
        peers.updates.on_grant_replied = self._take_reply

    async def admit(self, entry: ListedEndpoint, max_wait_s: float) -> bool:
        """Wait until a request may be sent to an endpoint.

        :param max_wait_s: longest time to wait.
        :returns: false if the endpoint's limit doesn't allow it in that time; the time
            until it might is recorded.
        """
        limit = self._fleet.request_limits.limit_of(entry, trio.current_time())
        if limit is None:
            return True
        reply = await self._request(limit, max_wait_s)
        self._record_next_grant(limit, reply)
        logger.info(
            "limits: granted" if reply.is_granted else "limits: not granted",
            extra={
                "endpoint": entry.id,
                "per_s": limit.per_s,
                "is_cold": bool(limit.cold_s),
                "wait_ms": round(reply.wait_s * 1000),
                "max_wait_ms": round(max_wait_s * 1000),
            },
        )
        if reply.is_granted:
            await trio.sleep(reply.wait_s)
        return reply.is_granted

    def charge(self, entry: ListedEndpoint) -> None:
        """Count a request that has to be sent whatever the limit allows."""
        limit = self._fleet.request_limits.limit_of(entry, trio.current_time())
        if limit is None:
            return
        granting = self._granting_instance(limit)
        if granting == self._fleet.instance:
            self._grant(limit, math.inf, self._passed_over())
        else:
            self._peers.send_to(granting, self._new_request(limit, math.inf))

    def _granting_instance(self, limit: NamedLimit) -> InstanceId:
        return self._peers.granting_instance(
            limit.endpoint, self._passed_over(), is_cold=bool(limit.cold_s)
        )

    def _passed_over(self) -> InstanceId:
        is_silent = trio.current_time() < self._silent_until
        return self._silent_instance if is_silent else NO_INSTANCE

    async def _request(self, limit: NamedLimit, max_wait_s: float) -> GrantReply:
        granting = self._granting_instance(limit)
        if granting == self._fleet.instance:
            return self._grant(limit, max_wait_s, self._passed_over())
        request = self._new_request(limit, max_wait_s)
        pending = self._pending_by_number[request.number] = _PendingGrant()
        try:
            for _ in range(TRIES):
                self._peers.send_to(granting, request)
                with trio.move_on_after(REPLY_TIMEOUT_S):
                    await pending.replied.wait()
                    return pending.reply
        finally:
            del self._pending_by_number[request.number]
        self._silent_instance = granting
        self._silent_until = trio.current_time() + PASSED_OVER_S
        logger.warning(
            "limits: no reply to a request for a grant",
            extra={"endpoint": limit.endpoint, "peer": granting},
        )
        return NOT_THIS_INSTANCE

    def _new_request(self, limit: NamedLimit, max_wait_s: float) -> GrantRequested:
        self._last_number += 1
        named = limit_update(limit, trio.current_time())
        return GrantRequested(self._last_number, named, max_wait_s, self._passed_over())

    def _record_next_grant(self, limit: NamedLimit, reply: GrantReply) -> None:
        interval_s = grant_interval_s(limit.per_s) if reply.is_granted else 0.0
        next_at = trio.current_time() + reply.wait_s + interval_s
        self._fleet.request_limits.record_next_grant(limit.endpoint, next_at)

    def _answer(self, sender: InstanceId, request: GrantRequested) -> None:
        """Reply to another instance; a repeated request gets the same reply."""
        key = (sender, request.number)
        reply = self._reply_by_request.get(key)
        if reply is None:
            reply = self._decide(request)
            self._reply_by_request[key] = reply
            if len(self._reply_by_request) > MAX_REMEMBERED_REPLIES:
                self._reply_by_request.popitem(last=False)
        self._peers.send_to(sender, GrantReplied(request.number, reply))

    def _decide(self, request: GrantRequested) -> GrantReply:
        endpoint = request.limit.endpoint
        granting = self._peers.granting_instance(
            endpoint, request.passed_over, is_cold=bool(request.limit.cold_s)
        )
        if granting != self._fleet.instance:
            # The sender will soon know the same instances.
            return NOT_THIS_INSTANCE
        limit = self._limit_to_grant(request)
        if limit is None or limit.per_s == NO_LIMIT:
            return GrantReply(True, 0.0)
        return self._grant(limit, request.max_wait_s, request.passed_over)

    def _limit_to_grant(self, request: GrantRequested) -> NamedLimit | None:
        """Return the limit that this instance knows, or else that of a request."""
        endpoint = request.limit.endpoint
        entry = self._fleet.endpoints.get(endpoint)
        now = trio.current_time()
        known = entry and self._fleet.request_limits.limit_of(entry, now)
        if known is not None:
            return known
        if request.limit.cold_s:
            # This instance may not have the entry or the configuration yet.
            named = request.limit
            return NamedLimit(endpoint, named.start, named.per_s, now, named.cold_s)
        return self._fleet.endpoint_limits.latest(endpoint)

    def _grant(
        self, limit: NamedLimit, max_wait_s: float, passed_over: InstanceId
    ) -> GrantReply:
        """Grant a request at an endpoint for which this instance grants.

        In place of an instance that others may still hear, it grants only a part.
        """
        usual = self._peers.granting_instance(
            limit.endpoint, is_cold=bool(limit.cold_s)
        )
        if passed_over != NO_INSTANCE and usual == passed_over:
            limit = dataclasses.replace(limit, per_s=SUBSTITUTE_SHARE * limit.per_s)
        now = trio.current_time()
        if limit.cold_s:
            return self._grant_cold(limit, max_wait_s, now)
        return self._schedules.request(limit, max_wait_s, now)

    def _grant_cold(
        self, limit: NamedLimit, max_wait_s: float, now: float
    ) -> GrantReply:
        """Grant a request at a cold endpoint.

        What instances don't hear of each other adds up, so each part of a split fleet
        grants its share only. The bound holds for every second, so the first grant at
        an endpoint in use comes a second after what was sent to it before.
        """
        bound = self._cold_overshoot * limit.per_s + self._cold_slack
        per_s = min(limit.per_s, max(bound - 1, bound / 2))
        per_s *= self._peers.heard_share()
        is_in_use = self._fleet.engine_loads.load(limit.endpoint, now).requests > 0
        return self._schedules.request(
            dataclasses.replace(limit, per_s=per_s),
            max_wait_s,
            now,
            burst_s=self._cold_burst_s,
            first_wait_s=COLD_FIRST_WAIT_S if is_in_use else 0.0,
        )

    def _take_reply(self, update: GrantReplied) -> None:
        pending = self._pending_by_number.get(update.number)
        if pending is not None:
            pending.reply = update.reply
            pending.replied.set()
