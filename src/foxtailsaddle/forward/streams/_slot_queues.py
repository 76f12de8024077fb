"""Queues requests while all slots of their service's engines are taken."""

import dataclasses
import functools
import typing as t

import trio

from ..._tasks import keep_running
from ...core import (
    AccountHash,
    ServiceId,
    ServiceSpec,
    StreamPlan,
    Waiter,
    WaitQueue,
    account_hash,
)
from ...errors import OverloadedError
from .._request_context import RequestContext
from .._retrying import spread_retry_after_s
from ._placer import StreamPlacer
from ._timeouts import caller_timeout_s

SLOT_POLL_S = 0.005
MAX_WAIT_SHARE = 0.6  # of the time after which a caller abandons a silent stream
LONG_PROMPT_TOKENS = 15_000
SLOT_START_S = (
    0.06  # from a free slot to the start of the prefill, besides whole passes
)
MAX_TIME_WITHOUT_SLOT_S = 1.0  # after which the recorded load may be wrong


@dataclasses.dataclass(slots=True)
class _QueuedRequest:
    waiter: Waiter
    find_plan: t.Callable[[], StreamPlan | None]
    released: trio.Event = dataclasses.field(default_factory=trio.Event)
    refused: bool = False


class _ServiceQueue:
    """The requests that wait for a slot of one service.

    :ivar service: the service as the configuration in force describes it.
    :ivar waiter_added: set when a request is added to an empty queue.
    :ivar slot_free_at: when a slot was last free.
    """

    def __init__(
        self, service: ServiceSpec, placer: StreamPlacer, shares_room: bool
    ) -> None:
        self.service = service
        self._placer = placer
        self._shares_room = shares_room
        self.wait_queue = WaitQueue()
        self.request_by_waiter: dict[Waiter, _QueuedRequest] = {}
        self.waiter_added = trio.Event()
        self.slot_free_at = trio.current_time()

    def next_waiter(self, now: float) -> Waiter | None:
        """Return the request to send on now, ``None`` if it or a slot is missing."""
        if not self._placer.has_free_slot(self.service.id, self.service.engine):
            return None
        if not self._shares_room:
            return self.wait_queue.next(now, self._has_slot_for)
        self._update_shares(self.wait_queue.accounts())
        self.wait_queue.instances = self._placer.count_instances()
        return self.wait_queue.next(now, self._has_slot_for, self._free_slots())

    def must_wait(self, waiter: Waiter, plan: StreamPlan, now: float) -> bool:
        """Return whether a new request has to wait for its turn."""
        if plan.slot_ms or not self._shares_room:
            return bool(plan.slot_ms)
        self._update_shares({waiter.account, *self.wait_queue.accounts()})
        free_slots = self._free_slots() - len(self.wait_queue)
        return not self.wait_queue.may_use(waiter, free_slots, now)

    def _update_shares(self, waiting: t.Collection[AccountHash]) -> None:
        service, engine = self.service.id, self.service.engine
        self.wait_queue.shares = self._placer.slot_shares(service, engine, waiting)

    def _free_slots(self) -> float:
        return self._placer.free_slots(self.service.id, self.service.engine)

    def admit(self, waiter: Waiter, now: float) -> None:
        """Let a request go on to an engine with a free slot."""
        self.slot_free_at = now
        self.request_by_waiter[waiter].released.set()

    def expire(self, waiter: Waiter, now: float) -> None:
        """End a wait that has reached its time limit.

        A long prompt goes on to the queue of an engine. A short one is refused, unless
        no slot has become free for so long that the recorded load may be wrong.
        """
        queued = self.request_by_waiter[waiter]
        is_load_doubtful = now - self.slot_free_at > MAX_TIME_WITHOUT_SLOT_S
        queued.refused = not (waiter.is_long or is_load_doubtful)
        queued.released.set()

    def _has_slot_for(self, waiter: Waiter) -> bool:
        """Return whether the engine that a request would go to has a free slot."""
        plan = self.request_by_waiter[waiter].find_plan()
        return plan is None or not plan.slot_ms


class SlotQueues:
    """The requests of this instance that wait for a slot, by service.

    :param shares_room: client accounts have equal shares of the slots, and requests of
        a higher priority go first.
    :param most_urgent: returns the highest priority of a service's routes.
    """

    def __init__(
        self,
        placer: StreamPlacer,
        background: trio.Nursery,
        shares_room: bool = False,
        most_urgent: t.Callable[[ServiceId], int] = lambda _: 0,
    ) -> None:
        self._placer = placer
        self._shares_room = shares_room
        self._most_urgent = most_urgent
        self._background = background
        self._queue_by_service: dict[ServiceId, _ServiceQueue] = {}

    def is_urgent(self, context: RequestContext) -> bool:
        """Return whether no route of a request's service has a higher priority."""
        return context.priority <= self._most_urgent(context.service.id)

    async def wait_for_slot(
        self, context: RequestContext, find_plan: t.Callable[[], StreamPlan | None]
    ) -> None:
        """Wait until an engine has a free slot, or the wait reaches its time limit.

        :param find_plan: returns the plan of the request as of now.
        :raises OverloadedError: no slot became free in time.
        """
        plan = find_plan()
        if plan is None:
            return
        queue = self._queue(context.service)
        waiter = _new_waiter(context, plan)
        if self._shares_room:
            waiter.account = account_hash(context.account)
            waiter.is_urgent = self.is_urgent(context)
        if not queue.must_wait(waiter, plan, trio.current_time()):
            return
        queued = _QueuedRequest(waiter, find_plan)
        queue.request_by_waiter[queued.waiter] = queued
        queue.wait_queue.add(queued.waiter)
        queue.waiter_added.set()
        began_at = trio.current_time()
        try:
            await queued.released.wait()
        finally:
            queue.wait_queue.remove(queued.waiter)
            del queue.request_by_waiter[queued.waiter]
            context.log_fields["held_ms"] = round(
                (trio.current_time() - began_at) * 1000
            )
            if self._shares_room:
                above_share = queue.wait_queue.shares.above_share
                context.log_fields["above_share"] = waiter.account in above_share
                context.log_fields["urgent"] = waiter.is_urgent
        if queued.refused:
            raise OverloadedError(
                f'all slots of service "{context.service.id}" are taken',
                retry_after_s=spread_retry_after_s(context),
            )

    def _queue(self, service: ServiceSpec) -> _ServiceQueue:
        queue = self._queue_by_service.get(service.id)
        if queue is None:
            queue = _ServiceQueue(service, self._placer, self._shares_room)
            self._queue_by_service[service.id] = queue
            self._background.start_soon(
                keep_running, functools.partial(_run_queue, queue)
            )
        queue.service = service
        return queue


async def _run_queue(queue: _ServiceQueue) -> None:
    """Let requests go one at a time, so that each sees the load of the one before."""
    while True:
        if not len(queue.wait_queue):
            queue.waiter_added = trio.Event()
            await queue.waiter_added.wait()
        now = trio.current_time()
        for waiter in queue.wait_queue.overdue(now):
            queue.expire(waiter, now)
        await trio.lowlevel.checkpoint()
        waiter = queue.next_waiter(now)
        if waiter is None:
            await trio.sleep(SLOT_POLL_S)
            continue
        queue.admit(waiter, now)
        # The request is placed before the next one looks for a slot.
        await trio.lowlevel.checkpoint()
        await trio.lowlevel.checkpoint()


def _new_waiter(context: RequestContext, plan: StreamPlan) -> Waiter:
    start_s = (plan.first_event_ms - plan.slot_ms) / 1000 + SLOT_START_S
    target_at = context.arrived_at + context.route.first_event_target_s
    max_wait_s = MAX_WAIT_SHARE * min(
        caller_timeout_s(context), context.expires_at - context.arrived_at
    )
    prompt = context.request.prompt_size
    return Waiter(
        arrived_at=context.arrived_at,
        target_deadline=target_at - start_s,
        queue_deadline=context.arrived_at + max_wait_s,
        is_long=prompt is not None and prompt.prompt_tokens >= LONG_PROMPT_TOKENS,
    )
