"""Injects faults into a soak test's fleet from outside its processes."""

import contextlib
import random
import signal
import time
import typing as t

import trio

from foxtailsaddle.errors import FoxtailsaddleError
from standins.cuts import CutKind

from .disruptions import STORE, Cut, Disruptions, Evacuation
from .fleet import Process, SoakFleet
from .foreign_entries import write_foreign_entries
from .limits import LimitHistory
from .proxy import LinkFault

RUNNER_FAULTS = (
    "error",
    "unavailable",
    "refuse",
    "hang",
    "reset",
    "reset_late",
    "cut",
    "partial",
    "empty",
    "truncate",
    "garbage",
    "other_id",
    "extra",
    "unframed",
    "bad_id",
    "endless_head",
    "endless_body",
    "endless_informational",
    "dripped_head",
    "dripped_body",
)
STORE_FAULTS = ({"refuse": 503}, {"silent": True}, {"slow_s": 0.5}, {"lose_writes": 3})
STORE_HEALTHY = {"refuse": 0, "silent": False, "slow_s": 0.0, "lose_writes": 0}
SILENCE_S = (0.5, 2.0)  # of a successful runner
CALL_TIMEOUT_S = 2.0
FOREIGN = "foreign"  # odd entries in the list, beside all other faults
EVACUATED = "b"  # the data centre that is evacuated now and then


class Injector:
    """Starts overlapping faults, each at a random time and place.

    :param kinds: names of the kinds of fault to choose from; empty for all.
    :ivar faults: descriptions of the injected faults, with their times.
    :ivar sends_crashing: whether callers send prompts that crash runners.
    :ivar cuts: times for which instances reached no runner.
    :ivar evacuations: times for which a data centre was evacuated.
    :ivar unframed_runners: names of runners whose streams ended with their connection.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        rng: random.Random,
        limits: LimitHistory,
        disruptions: Disruptions,
        kinds: t.Collection[str],
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._limits = limits
        self._disruptions = disruptions
        self.faults: list[str] = []
        self.sends_crashing = False
        self.unframed_runners: set[str] = set()
        self.cuts: list[Cut] = []
        self.evacuations: list[Evacuation] = []
        self._is_evacuated = False
        inject_by_kind: dict[str, t.Callable[[], t.Awaitable[None]]] = {
            "kill": self._kill,
            "pause": self._pause,
            "terminate": self._terminate,
            "reload": self._reload,
            "link": self._break_link,
            "runner": self._break_runner,
            "store": self._break_store,
            "configuration": self._reconfigure,
            "limits": self._change_limits,
            "drain": self._drain_runner,
            "restore": self._restore_store,
            "silence": self._silence_runner,
            "leaving": self._retire_runner,
            "rest": self._let_runner_rest,
            "framing": self._change_framing,
            "crash": self._send_crashing,
            "limit": self._limit_runner,
            "cut": self._cut_off,
            "evacuate": self._evacuate,
        }
        self._writes_foreign_entries = not kinds or FOREIGN in kinds
        self._injections = [
            inject_by_kind[kind] for kind in kinds or inject_by_kind if kind != FOREIGN
        ]

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, and wait until they have ended."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as foreign:
            if self._writes_foreign_entries:
                rng = random.Random()
                rng.setstate(self._rng.getstate())  # the other faults stay the same
                foreign.start_soon(write_foreign_entries, self._fleet, rng)
            async with trio.open_nursery() as nursery:
                while trio.current_time() < end and self._injections:
                    nursery.start_soon(self._rng.choice(self._injections))
                    await trio.sleep(self._rng.uniform(0.3, 1.2))
            await trio.sleep_until(end)
            foreign.cancel_scope.cancel()

    async def revive_runners(self) -> None:
        """Restart each runner whose process has ended, until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self._fleet.runner_services:
                nursery.start_soon(self._revive, name)

    async def _revive(self, name: str) -> None:
        rng = random.Random(f"{name} {self._rng.random()}")
        while True:
            await trio.sleep(0.05)
            if self._fleet.processes[name].has_ended:
                await trio.sleep(rng.uniform(0.5, 2.0))
                await self._fleet.restart_runner(name)

    def _record_fault(
        self, description: str, place: str = "", duration_s: float = 0.0
    ) -> None:
        now = time.monotonic()
        self.faults.append(f"{now:.2f} {description} {place}")
        if place:
            self._disruptions.add(place, now, now + duration_s)

    def _pick_instance(self) -> tuple[str, Process]:
        name = self._rng.choice(list(self._fleet.front_addresses))
        return name, self._fleet.processes[name]

    def _pick_runner(self) -> str:
        return self._rng.choice(list(self._fleet.runner_services))

    async def _kill(self) -> None:
        name, process = self._pick_instance()
        self._record_fault("kill", name, 1.0)
        process.signal(signal.SIGKILL)
        await self._restart(process)

    async def _pause(self) -> None:
        name, process = self._pick_instance()
        duration_s = self._rng.uniform(0.5, 3.0)
        self._record_fault("pause", name, duration_s)
        process.signal(signal.SIGSTOP)
        await trio.sleep(duration_s)
        process.signal(signal.SIGCONT)

    async def _terminate(self) -> None:
        name, process = self._pick_instance()
        self._record_fault("terminate", name, 9.0)
        process.signal(signal.SIGTERM)
        await self._restart(process)

    async def _restart(self, process: Process) -> None:
        while not process.has_ended:
            await trio.sleep(0.05)
        await trio.sleep(self._rng.uniform(0.1, 0.6))
        if process.has_ended:
            process.start()

    async def _reload(self) -> None:
        name, process = self._pick_instance()
        self._record_fault(f"reload of {name}")
        process.signal(signal.SIGHUP)

    async def _break_link(self) -> None:
        name = self._rng.choice(list(self._fleet.links))
        fault = self._rng.choice(list(LinkFault)[1:])
        duration_s = self._rng.uniform(0.3, 2.5)
        place = STORE if name == STORE else self._fleet.link_place(name)
        self._record_fault(f"{fault.value}:", place, duration_s)
        if place == STORE:
            self._limits.record_disturbance(time.monotonic() + duration_s)
        link = self._fleet.links[name]
        link.inject(fault, self._rng)
        await trio.sleep(duration_s)
        link.fault = LinkFault.NONE

    async def _break_runner(self) -> None:
        name = self._pick_runner()
        fault = self._rng.choice(RUNNER_FAULTS)
        self._record_fault(f"runner {name}: {fault}")
        if fault == "unframed":
            self.unframed_runners.add(name)
        with _ended_runner():
            await self._fleet.set_runner_faults(name, [fault] * self._rng.randint(1, 6))

    async def _break_store(self) -> None:
        fault = self._rng.choice(STORE_FAULTS)
        duration_s = self._rng.uniform(0.5, 4.0)
        self._record_fault(f"{fault}:", STORE, duration_s)
        self._limits.record_disturbance(time.monotonic() + duration_s)
        await self._fleet.control_store("/knobs", **fault)
        await trio.sleep(duration_s)
        await self._fleet.control_store("/knobs", **STORE_HEALTHY)

    async def _restore_store(self) -> None:
        """Let the store come back from a backup, then repeat what its writers wrote."""
        seconds_back = self._rng.uniform(0.5, 5.0)
        durations_s = [self._rng.uniform(0.1, 1.0) for _ in range(2)]
        description = f"restored from {seconds_back:.1f} s ago:"
        self._record_fault(description, STORE, sum(durations_s))
        self._limits.record_disturbance(time.monotonic() + sum(durations_s))
        await self._fleet.control_store("/knobs", refuse=503)
        await trio.sleep(durations_s[0])
        await self._fleet.control_store("/restore", seconds_back=seconds_back)
        await self._fleet.control_store("/knobs", **STORE_HEALTHY)
        await trio.sleep(durations_s[1])
        await self._write_configuration(self._limits.value)
        await self._write_evacuation()
        for id in self._fleet.past_runner_ids:
            await self._fleet.drop_row(id)
        for name in self._fleet.runner_services:
            await self._fleet.list_runner(name)

    async def _reconfigure(self) -> None:
        self._record_fault("configuration")
        if self._rng.random() < 0.3:
            await self._fleet.control_store("/forget")
        now = time.monotonic()
        await self._write_configuration(self._limits.repeat_configuration(now))

    async def _change_limits(self) -> None:
        """Change timeouts a few times in a row, to higher and lower ones."""
        for _ in range(self._rng.randint(1, 3)):
            value = self._limits.next_configuration(time.monotonic())
            self._record_fault(f"limits {value['limits']}")
            await self._write_configuration(value)
            await trio.sleep(self._rng.uniform(0.3, 3.0))

    async def _write_configuration(self, value: dict[str, t.Any]) -> None:
        await self._fleet.control_store("/put", table="op", key="config", value=value)

    async def _drain_runner(self) -> None:
        name = self._pick_runner()
        self._record_fault(f"runner {name} drains")
        await self._fleet.list_runner(name, "draining")
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        await self._fleet.list_runner(name)

    async def _silence_runner(self) -> None:
        """Stop a runner for a moment; it keeps its connections and goes on."""
        name = self._pick_runner()
        process = self._fleet.processes[name]
        self._record_fault(f"runner {name} is silent")
        process.signal(signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(*SILENCE_S))
        process.signal(signal.SIGCONT)

    async def _retire_runner(self) -> None:
        """Let a runner say that it leaves, then drain it, then end its process."""
        name = self._pick_runner()
        self._record_fault(f"runner {name} leaves")
        process = self._fleet.processes[name]
        handle = process.handle
        with _ended_runner():
            await self._fleet.set_runner_knobs(name, is_leaving=True)
        await trio.sleep(self._rng.uniform(0.3, 4.0))
        if process.handle is not handle:
            return
        await self._fleet.list_runner(name, "draining")
        await trio.sleep(self._rng.uniform(2.0, 4.0))
        if process.handle is handle:
            process.signal(signal.SIGKILL)

    async def _let_runner_rest(self) -> None:
        """Let a runner turn requests away and ask to be left alone for a time."""
        name = self._pick_runner()
        pause_s = self._rng.choice((1.0, 2.0, 3.0))
        self._record_fault(f"runner {name} wants nothing for {pause_s} s")
        with _ended_runner():
            await self._fleet.set_runner_knobs(
                name, retry_after=f"{pause_s:g}", is_refusing=True
            )
        await trio.sleep(self._rng.uniform(0.2, pause_s))
        with _ended_runner():
            await self._fleet.set_runner_knobs(name, retry_after="", is_refusing=False)

    async def _change_framing(self) -> None:
        """Let a runner end its streams in another way until it restarts."""
        name = self._pick_runner()
        framing = self._rng.choice(("chunked", "length", "close"))
        if framing == "close":
            self.unframed_runners.add(name)
        self._record_fault(f"runner {name}: framing {framing}")
        with _ended_runner():
            await self._fleet.set_runner_knobs(name, framing=framing)

    async def _limit_runner(self) -> None:
        """Let a runner name a limit for all instances together, and change it once."""
        name = self._pick_runner()
        for per_s in (self._rng.choice(("0.5", "1", "2", "4")), ""):
            self._record_fault(f"runner {name}: limit {per_s or 'ended'}")
            with _ended_runner():
                await self._fleet.set_runner_knobs(name, limit_per_s=per_s)
            await trio.sleep(self._rng.uniform(5.0, 9.0) if per_s else 0.0)

    async def _cut_off(self) -> None:
        """Cut an instance off from all runners, while all else reaches it."""
        name, _ = self._pick_instance()
        kind = self._rng.choice(list(CutKind))
        self._record_fault(f"{name} is cut off from runners: {kind.value}")
        since = time.monotonic()
        self._fleet.cut_off(name, kind.value)
        await trio.sleep(self._rng.uniform(4.0, 9.0))
        self.cuts.append(Cut(name, since, time.monotonic()))
        self._fleet.heal(name)

    async def _evacuate(self) -> None:
        """Evacuate a data centre, and take it back."""
        if self._is_evacuated:
            return
        self._is_evacuated = True
        await self._write_evacuation()
        since, runners = time.monotonic(), self._fleet.runners_in(EVACUATED)
        self._record_fault(f"data centre {EVACUATED} is evacuated")
        await trio.sleep(self._rng.uniform(4.0, 9.0))
        self._is_evacuated = False
        present = runners & self._fleet.runners_in(EVACUATED)
        self.evacuations.append(Evacuation(since, time.monotonic(), present))
        await self._write_evacuation()

    async def _write_evacuation(self) -> None:
        """Write or remove the row, as the data centre is to be at present."""
        row = {"table": "op", "key": f"evacuate/{EVACUATED}"}
        if self._is_evacuated:
            await self._fleet.control_store("/put", value="", **row)
        else:
            await self._fleet.control_store("/drop", **row)

    async def _send_crashing(self) -> None:
        if not self.sends_crashing:
            self._record_fault("some prompts crash runners from now on")
        self.sends_crashing = True


@contextlib.contextmanager
def _ended_runner() -> t.Iterator[None]:
    """Go on if a runner has ended and can't be told anything, or is silent."""
    with contextlib.suppress(FoxtailsaddleError):
        yield
