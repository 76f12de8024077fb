"""Updates about this instance's work that wait to be sent to all other instances."""

import collections
import logging

import trio

from ...core import (
    AttemptOutcome,
    EndpointDeath,
    EndpointId,
    Job,
    JobId,
    NamedLimit,
    PromptPartId,
    RefusedPart,
)
from ._messages import (
    EndpointDied,
    JobBegan,
    JobEnded,
    JobPlaced,
    LimitNamed,
    ListChanged,
    PartRefused,
    PartsCleared,
    PartTrialClaimed,
    SlowdownChanged,
    Update,
)

logger = logging.getLogger("foxtailsaddle.peers")

MAX_PENDING_UPDATES = 2000


class UpdateOutbox:
    """Queues updates in the order in which they are to be sent.

    :ivar dropped_updates: updates that were not sent, since too many were waiting.
    """

    def __init__(self) -> None:
        self._pending: collections.deque[Update] = collections.deque()
        self._updates_pending = trio.Event()
        self._is_dropping = False
        self.dropped_updates = 0

    async def wait(self) -> None:
        """Wait until there are updates to send."""
        await self._updates_pending.wait()
        self._updates_pending = trio.Event()

    def take(self, most: int) -> list[Update]:
        """Remove and return the first updates.

        :param most: largest number of updates.
        """
        count = min(most, len(self._pending))
        return [self._pending.popleft() for _ in range(count)]

    def notify_placed(self, job: Job, decode_ms: float) -> None:
        """Send that a job was placed at an endpoint."""
        self._queue_update(JobPlaced(job, decode_ms))

    def notify_began(self, job: JobId) -> None:
        """Send that the first event of a job has arrived."""
        self._queue_update(JobBegan(job))

    def notify_ended(
        self, job: JobId, endpoint: EndpointId, outcome: AttemptOutcome
    ) -> None:
        """Send that a job has ended."""
        self._queue_update(JobEnded(job, endpoint, outcome))

    def notify_slowdown(self, endpoint: EndpointId, slowdown: float) -> None:
        """Send how many times slower than published an endpoint is."""
        self._queue_update(SlowdownChanged(endpoint, slowdown))

    def notify_death(self, death: EndpointDeath) -> None:
        """Send that an endpoint crashed while it ran a request."""
        self._queue_update(EndpointDied(death))

    def notify_part_refused(self, refused: RefusedPart) -> None:
        """Send that requests with a part of prompts are refused."""
        self._queue_update(PartRefused(refused))

    def notify_parts_cleared(
        self,
        parts: tuple[PromptPartId, ...],
        age_s: float = 0.0,
        fingerprint: str = "",
    ) -> None:
        """Send that parts which were suspected ran successfully some time ago."""
        self._queue_update(PartsCleared(parts, age_s, fingerprint))

    def notify_part_trial(self, parts: tuple[PromptPartId, ...], for_s: float) -> None:
        """Send that this instance tries suspected parts with one request."""
        self._queue_update(PartTrialClaimed(parts, for_s))

    def notify_limit(self, limit: NamedLimit) -> None:
        """Send what an endpoint says of its limit."""
        self._queue_update(limit_update(limit, trio.current_time()))

    def notify_list_changed(self, update: ListChanged) -> None:
        """Send that an entry of the list of endpoints has changed in the store."""
        self._queue_update(update)

    def _queue_update(self, update: Update) -> None:
        is_full = len(self._pending) >= MAX_PENDING_UPDATES
        if is_full:
            self.dropped_updates += 1
        else:
            self._pending.append(update)
        if is_full and not self._is_dropping:
            logger.warning(
                "peers: too many updates are waiting, some are not sent",
                extra={"waiting": len(self._pending)},
            )
        self._is_dropping = is_full
        self._updates_pending.set()


def limit_update(limit: NamedLimit, now: float) -> LimitNamed:
    """Return the update that tells another instance of a limit."""
    age_s = now - limit.heard_at
    return LimitNamed(limit.endpoint, limit.born_ms, limit.per_s, age_s, limit.cold_s)
