"""A foreign entry with a host name that can't be encoded, and a runner crashes."""

import asyncio
import contextlib
import pathlib

from ..common.case import has_trouble, run_case
from ..common.fleet import LOOPBACK, TOUCH_S, Fleet, Instance, configuration
from ..common.kept import KeptClient
from ..common.record import Record
from ..common.runner import Runner
from ..common.store import Store

INSTANCES = 3
RUNNERS = 6
CLIENTS = 36
WORK_S = 0.2
DOWN_S = 4.5
RESTART_DELAY_S = 0.5
FOREIGN_KEY = "archive-1"
# The other writer names its processes by a digest of 64 characters.
FOREIGN_HOST = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
FOREIGN_ENTRY = {
    "service": "archive",
    "address": f"{FOREIGN_HOST}:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
SETTLE_S = 3.0
WATCHED_S = 15.0
MAX_CLOSED = 3


async def keep_up(fleet: Fleet, instance: Instance, ends: list[str]) -> None:
    """Start an instance again whenever its process has ended by itself."""
    while True:
        await fleet.wait_ended(instance)
        ends.append(instance.name)
        await asyncio.sleep(RESTART_DELAY_S)
        fleet.start(instance)


async def body(record: Record, folder: pathlib.Path) -> bool:
    """Run the case; return whether the rule held."""
    store = Store(f"{LOOPBACK}.1.1")
    await store.start()
    store.put("op", "config", configuration())
    runners = [
        Runner(
            f"p{number}",
            "plain",
            f"{LOOPBACK}.2.{number + 1}",
            store,
            record,
            work_s=WORK_S,
            down_s=DOWN_S,
        )
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    fleet = Fleet(folder, store.address, INSTANCES, record)
    ends: list[str] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start_all()
        tasks += [
            asyncio.create_task(KeptClient(number, fleet, record).run())
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(TOUCH_S + SETTLE_S)
        tasks += [
            asyncio.create_task(keep_up(fleet, instance, ends))
            for instance in fleet.instances
        ]
        if has_trouble():
            store.put("servers", FOREIGN_KEY, FOREIGN_ENTRY)
            record.write("foreign entry written")
        await asyncio.sleep(SETTLE_S)
        crashed = runners[0].id
        runners[0].crash("")
        await asyncio.sleep(WATCHED_S)
        return judge(record, crashed, ends)
    finally:
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        keep_logs(record, fleet)
        fleet.end_all()


def judge(record: Record, crashed: str, ends: list[str]) -> bool:
    """Count the requests of kept connections that were lost at sound runners."""
    events = record.events()
    ran_at_sound = {
        event["id"]
        for event in events
        if event["event"] == "run" and event["runner"] != crashed
    }
    kept = {event["id"] for event in events if event.get("kept")}
    closed = [
        event["id"]
        for event in events
        if event["event"] == "closed without an answer"
        and event["id"] in ran_at_sound & kept
    ]
    record.write("judged", ended_by_themselves=ends, closed=len(closed))
    return len(closed) <= MAX_CLOSED


def keep_logs(record: Record, fleet: Fleet) -> None:
    """Write the last words of processes that ended by themselves."""
    for instance in fleet.instances:
        lines = instance.log.read_text(encoding="utf-8").splitlines()
        words = [line for line in lines if "UnicodeError" in line]
        if words:
            record.write("log", instance=instance.name, last=words[-1])


run_case(pathlib.Path(__file__).resolve().parent, body)
