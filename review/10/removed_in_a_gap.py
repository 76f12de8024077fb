"""Runners leave while the store discards its history sooner than usual."""

import asyncio
import dataclasses

from review.common2.case import Record, run_case
from review.common2.fleet import CaseCouldNotRunError, Fleet, Sent

INSTANCES = 5
RUNNERS = 3
RELEASES = 6
REMOVED_AFTER_S = 0.1  # from the entry of the runner that takes its place
FORGOTTEN_AFTER_S = 0.15  # from the removal
TOUCH_S = 3.0
DRAIN_S = 2.0
MARGIN_S = 0.4
SERVES_ON_S = 8.0  # from the removal of its entry until a runner ends
REQUESTS = 4  # to each instance after each release


@dataclasses.dataclass
class Leaving:
    """A runner whose entry was removed.

    :param acknowledged_at: when the store had accepted that.
    """

    runner: str
    acknowledged_at: float


async def play(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Replace runners one after another, and ask all instances after each."""
    await fleet.start_store()
    for number in range(RUNNERS):
        await fleet.start_runner(f"p{number}", "plain", [])
    await fleet.start_instances(INSTANCES)
    await asyncio.sleep(TOUCH_S + MARGIN_S)
    await _ask_all(fleet)
    if not all(sent.is_served for sent in fleet.sent):
        raise CaseCouldNotRunError("not all requests are served before the releases")
    left = []
    for number in range(RELEASES):
        await asyncio.sleep(TOUCH_S)
        await fleet.start_runner(f"p{RUNNERS + number}", "plain", [])
        await asyncio.sleep(REMOVED_AFTER_S)
        left.append(_remove(fleet, record, f"p{number}"))
        await asyncio.sleep(FORGOTTEN_AFTER_S)
        if has_trouble:
            fleet.store.forget_history()
            record.write("the store discards its history")
        await asyncio.sleep(TOUCH_S + MARGIN_S)
        await _ask_all(fleet)
    return _judge(fleet, record, left)


def _remove(fleet: Fleet, record: Record, id: str) -> Leaving:
    runner = fleet.runners[id]
    runner.tell(is_leaving=True)
    acknowledged_at = fleet.store.delete("servers", id)
    record.write(f"the entry of {id} is removed", acknowledged_at)
    loop = asyncio.get_running_loop()
    loop.call_later(SERVES_ON_S, runner.process.terminate)
    return Leaving(id, acknowledged_at)


async def _ask_all(fleet: Fleet) -> None:
    async def ask_some(instance: str) -> list[Sent]:
        return [await fleet.ask(instance, "safe") for _ in range(REQUESTS)]

    await asyncio.gather(*(ask_some(instance) for instance in fleet.instances))


def _judge(fleet: Fleet, record: Record, left: list[Leaving]) -> bool:
    sent_by_id = {sent.id: sent for sent in fleet.sent}
    left_at = {leaving.runner: leaving.acknowledged_at for leaving in left}
    late_count = 0
    for event in fleet.events:
        acknowledged_at = left_at.get(event.runner)
        if acknowledged_at is None or event.event != "ran":
            continue
        sent = sent_by_id[event.request]
        late_s = sent.at - acknowledged_at
        if late_s <= DRAIN_S:
            continue
        late_count += 1
        record.write(
            f"{event.runner} got request {sent.id} from {sent.instance}, which was "
            f"sent {late_s:.3f} s after its leaving was acknowledged",
            event.at,
        )
    record.write(
        f"{late_count} requests reached a runner later than drain_timeout_ms after its "
        f"leaving was acknowledged; the store answered {fleet.store.gone_count} feeds "
        "with 410"
    )
    return not late_count


if __name__ == "__main__":
    run_case(__file__, play)
