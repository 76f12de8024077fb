"""An unreadable entry in the list of runners, and all processes are killed later."""

import asyncio
import contextlib
import pathlib
import signal
import time

from ..common.case import has_trouble, run_case
from ..common.fleet import LOOPBACK, TOUCH_S, Client, Fleet, configuration
from ..common.record import Record
from ..common.runner import Runner
from ..common.store import Store

RUNNERS = 3
INSTANCES = 3
FOREIGN_KEY = "foreign-1"
FOREIGN_ENTRY = b"[" * 4096  # can't be read as JSON: no bracket is closed
REQUEST_INTERVAL_S = 0.1
BEFORE_S = 8.0
DOWN_S = 0.6
RECOVERY_S = 12.0
MEASURED_S = 10.0
MIN_SHARE = 0.25


class Traffic:
    """Steady requests to all instances, and how many of them were served."""

    def __init__(self, client: Client, fleet: Fleet) -> None:
        self._client = client
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()
        self._results: list[tuple[float, bool]] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self._ask(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _ask(self, number: int) -> None:
        instance = self._fleet.instances[number % len(self._fleet.instances)]
        sent_at = time.monotonic()
        reply = await self._client.ask(instance, f"/lookup/{number}")
        is_served = reply.status == 200 and "x-server-seal" in reply.headers
        self._results.append((sent_at, is_served))

    def share(self, from_at: float, to_at: float) -> float:
        """Return the share that was served of the requests sent in a time."""
        results = [ok for sent_at, ok in self._results if from_at <= sent_at < to_at]
        return sum(results) / max(1, len(results))


async def kill_all(fleet: Fleet) -> None:
    """Kill all instances at once and start them again, as the platform does."""
    for instance in fleet.instances:
        fleet.signal(instance, signal.SIGKILL)
    for instance in fleet.instances:
        await fleet.wait_ended(instance)
    await asyncio.sleep(DOWN_S)
    for instance in fleet.instances:
        fleet.start(instance)
    for instance in fleet.instances:
        await fleet.wait_ready(instance)


async def body(record: Record, folder: pathlib.Path) -> bool:
    """Run the case; return whether the rule held."""
    store = Store(f"{LOOPBACK}.1.1")
    await store.start()
    store.put("op", "config", configuration())
    for number in range(RUNNERS):
        host = f"{LOOPBACK}.2.{number + 1}"
        await Runner(f"p{number}", "plain", host, store, record).start()
    fleet = Fleet(folder, store.address, INSTANCES, record)
    try:
        await fleet.start_all()
        return await play(record, fleet, store)
    finally:
        fleet.end_all()


async def play(record: Record, fleet: Fleet, store: Store) -> bool:
    """Write the entry, kill all instances, and compare what is served."""
    traffic = Traffic(Client(record), fleet)
    sending = asyncio.create_task(traffic.run())
    try:
        await asyncio.sleep(TOUCH_S)
        began_at = time.monotonic()
        if has_trouble():
            store.put("servers", FOREIGN_KEY, FOREIGN_ENTRY)
            record.write("foreign entry written", bytes=len(FOREIGN_ENTRY))
        await asyncio.sleep(BEFORE_S)
        fault_at = time.monotonic()
        await kill_all(fleet)
        back_at = time.monotonic()
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
    finally:
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
    before = traffic.share(began_at, fault_at)
    # The last requests may still be under way.
    after = traffic.share(back_at + RECOVERY_S, back_at + RECOVERY_S + MEASURED_S - 3)
    record.write("judged", served_before=before, served_after_recovery_s=after)
    return before < MIN_SHARE or after >= MIN_SHARE


run_case(pathlib.Path(__file__).resolve().parent, body)
