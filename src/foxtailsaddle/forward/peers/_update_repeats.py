"""Numbers this instance's updates, and repeats those that others have missed.

Load pattern: a datagram is lost, and with it a crash, a refusal or a job that the
sender tells only once. The receiver learns from the number in any later datagram that
it lacks some, and asks. What each instance asks and answers in a second is bounded.
"""

import dataclasses
import logging
import typing as t

import trio

from ...core import Bucket, InstanceId, KeptUpdate, MissedUpdates, StatePart, UpdateLog
from .._fleet import FleetState
from ._fitting import DatagramTooLongError
from ._messages import (
    DatagramHeader,
    EndpointDied,
    JobBegan,
    JobEnded,
    JobPlaced,
    PartRefused,
    PartsCleared,
    Update,
    UpdatesMissed,
)
from ._peer import Peer

logger = logging.getLogger("foxtailsaddle.peers")

CHECK_INTERVAL_S = 0.2
FIRST_PAUSE_S = 0.5  # between two requests to one sender, while none has an effect
MAX_PAUSE_S = 30.0
REQUESTS_PER_S = 20.0
ANSWERS_PER_S = 20.0
REPEATED_PER_DATAGRAM = 12
EVIDENCE_TYPES = (EndpointDied, PartRefused, PartsCleared)
JOB_TYPES = (JobPlaced, JobBegan, JobEnded)
NUMBERED_TYPES = EVIDENCE_TYPES + JOB_TYPES


@dataclasses.dataclass(slots=True)
class Gap:
    """Updates of one peer that this instance lacks, and when it asks for them.

    :param since: when it noticed, in seconds.
    :param ask_at: when it asks again.
    """

    missed: MissedUpdates
    since: float
    ask_at: float
    pause_s: float = FIRST_PAUSE_S


class UpdateRepeats:
    """Keeps the numbered updates of this instance, and asks for missed ones of others.

    :param send: sends a request to a peer.
    :param send_state: sends the whole state of this instance to a peer.
    :param send_repeats: sends updates to a peer, which stand for so many numbers up to
        a last one.
    :ivar missed_updates: how often updates of another instance were missed.
    :ivar repeated_updates: updates that were sent once more.
    """

    def __init__(
        self,
        fleet: FleetState,
        send: t.Callable[[Peer, Update], None],
        send_state: t.Callable[[Peer], None],
        send_repeats: t.Callable[[Peer, t.Sequence[Update], int, int], None],
    ) -> None:
        self._fleet = fleet
        self._send = send
        self._send_state = send_state
        self._send_repeats = send_repeats
        self._log: UpdateLog[Update] = UpdateLog()
        self._gap_by_peer: dict[InstanceId, Gap] = {}
        self._requests = _budget(REQUESTS_PER_S)
        self._answers = _budget(ANSWERS_PER_S)
        self.missed_updates = 0
        self.repeated_updates = 0

    @property
    def incomplete_peers(self) -> int:
        """Number of the peers some of whose updates are missed at present."""
        return len(self._gap_by_peer)

    @property
    def last(self) -> int:
        """Number of this instance's last numbered update; 0 before the first."""
        return self._log.last

    def record_sent(self, numbered: t.Iterable[Update]) -> None:
        """Keep updates that were sent to all others, in the order of their numbers."""
        now = trio.current_time()
        for update in numbered:
            self._log.append(update, now)

    def state_part(self, index: int, count: int) -> StatePart:
        """Return the update that says that others belong to the whole state."""
        return StatePart(self._log.last, index, count)

    def receive(
        self, peer: Peer, header: DatagramHeader, updates: t.Sequence[Update]
    ) -> list[Update]:
        """Record what has arrived from a peer; return the updates that are to apply.

        Numbered ones that have arrived before are not.
        """
        is_repeated = False
        if peer.sequence is not None:
            is_new = peer.sequence.receive(header.last_update, header.update_count)
            is_repeated = header.update_count > 0 and not is_new
        new = []
        for update in updates:
            match update:
                case UpdatesMissed():
                    self.answer(peer, update.missed)
                case StatePart():
                    if peer.sequence is not None:
                        peer.sequence.receive_state(update)
                case _ if not (is_repeated and isinstance(update, NUMBERED_TYPES)):
                    new.append(update)
        return new

    def answer(self, peer: Peer, missed: MissedUpdates) -> None:
        """Send what a peer lacks, unless others have asked for too much already."""
        now = trio.current_time()
        if self._answers.take(1.0, now):
            return
        kept = self._log.find(missed)
        if kept is None:
            self._send_state(peer)
            return
        running = {
            job.id for job in self._fleet.engine_loads.jobs_of(self._fleet.instance)
        }
        for start in range(0, len(kept), REPEATED_PER_DATAGRAM):
            batch = kept[start : start + REPEATED_PER_DATAGRAM]
            updates = [_repeat(item, running, now) for item in batch]
            present = [update for update in updates if update is not None]
            try:
                self._send_repeats(peer, present, batch[-1].number, len(batch))
            except DatagramTooLongError:
                self._send_state(peer)
                return
            self.repeated_updates += len(present)

    def check(self, peers: t.Iterable[Peer]) -> None:
        """Ask those peers whose updates are missed, each once in a while."""
        now = trio.current_time()
        gaps: dict[InstanceId, Gap] = {}
        for peer in peers:
            missed = peer.sequence.missed() if peer.sequence else None
            previous = self._gap_by_peer.get(peer.id)
            if missed is not None:
                gaps[peer.id] = self._ask(peer, missed, previous, now)
            elif previous is not None:
                self._log_mended(peer, previous, now)
        self._gap_by_peer = gaps

    def _ask(
        self,
        peer: Peer,
        missed: MissedUpdates,
        gap: Gap | None,
        now: float,
    ) -> Gap:
        """Ask a peer if it is time to; a datagram that is only late is waited for."""
        if gap is None:
            return Gap(missed, now, now + CHECK_INTERVAL_S)
        if gap.missed != missed:
            gap = Gap(missed, gap.since, min(gap.ask_at, now + FIRST_PAUSE_S))
        if now < gap.ask_at or self._requests.take(1.0, now):
            return gap
        self._send(peer, UpdatesMissed(missed))
        if gap.pause_s == FIRST_PAUSE_S and not missed.is_all:
            self.missed_updates += 1
            logger.info(
                "peers: updates missed",
                extra={"peer": peer.id, "first": missed.first, "last": missed.last},
            )
        gap.ask_at = now + gap.pause_s
        gap.pause_s = min(MAX_PAUSE_S, 2 * gap.pause_s)
        return gap

    def _log_mended(self, peer: Peer, gap: Gap, now: float) -> None:
        if gap.pause_s == FIRST_PAUSE_S or gap.missed.is_all:
            return
        behind_ms = round((now - gap.since) * 1000)
        logger.info(
            "peers: updates repeated", extra={"peer": peer.id, "behind_ms": behind_ms}
        )


def is_numbered(update: Update, is_large_fleet: bool) -> bool:
    """Return whether an update to all others must not be missed.

    In a large fleet jobs are left to the load reports and to their expected ends.
    """
    if isinstance(update, EVIDENCE_TYPES):
        return True
    return isinstance(update, JOB_TYPES) and not is_large_fleet


def _budget(rate: float) -> Bucket:
    return Bucket(rate, rate, rate, 0.0)


def _repeat(
    kept: KeptUpdate[Update], running: t.Container[int], now: float
) -> Update | None:
    """Return an update as it is to be sent now; ``None`` if it counts no longer."""
    update, elapsed_s = kept.update, now - kept.sent_at
    match update:
        case EndpointDied():
            age_s = update.death.age_s + elapsed_s
            return EndpointDied(dataclasses.replace(update.death, age_s=age_s))
        case PartsCleared():
            return dataclasses.replace(update, age_s=update.age_s + elapsed_s)
        case PartRefused():
            left_s = update.refused.remaining_s - elapsed_s
            refused = dataclasses.replace(update.refused, remaining_s=left_s)
            return PartRefused(refused) if left_s > 0 else None
        case JobPlaced():
            return update if update.job.id in running else None
        case JobBegan():
            return update if update.job in running else None
        case _:
            return update
