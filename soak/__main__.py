"""Command line of the soak test: runs seeds and prints violated guarantees."""

import pathlib
import random
import signal
import sys
import tempfile

import fire
import trio

from standins.front_world import configuration

from .callers import Caller, RequestRecord
from .fleet import SoakFleet
from .promises import broken_promises
from .proxy import LinkFault

RUNNER_FAULTS = (
    "error",
    "refuse",
    "hang",
    "reset",
    "cut",
    "truncate",
    "garbage",
    "other_id",
    "extra",
    "unframed",
)
STORE_FAULTS = ({"refuse": 503}, {"silent": True}, {"slow_s": 0.5}, {"lose_writes": 3})
STORE_HEALTHY = {"refuse": 0, "silent": False, "slow_s": 0.0, "lose_writes": 0}
# A request may be answered late while its instance has a fault and this long after.
DISRUPTION_GRACE_S = 4.0
# Time for requests to end and reservations to be released before the check.
SETTLE_S = 6.0


class Soak:
    """Runs a fleet and callers with overlapping faults from one seed.

    :param seconds: duration of the fault injection.
    :param callers: number of concurrent callers.
    :param size: the fleet has four engines per unit of size.
    :ivar history: all requests that were sent.
    :ivar faults: descriptions of the injected faults, with their times.
    """

    def __init__(self, seed: int, seconds: float, callers: int, size: int) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._callers = callers
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.fleet = SoakFleet(self._folder, engines=4 * size, plain=3, instances=3)
        self.history: list[RequestRecord] = []
        self.faults: list[str] = []
        self._disruptions: list[tuple[str, float, float]] = []
        self._version = 1

    async def run(self) -> list[str]:
        """Run the soak test; return a sentence for each violation of a guarantee."""
        async with trio.open_nursery() as nursery:
            try:
                await self.fleet.start(nursery)
                async with trio.open_nursery() as requests:
                    for number in range(self._callers):
                        rng = random.Random(self._rng.random())
                        caller = Caller(number, self.fleet, rng, self.history)
                        requests.start_soon(caller.run)
                    await self._inject_faults(self._seconds)
                    requests.cancel_scope.cancel()
                await trio.sleep(SETTLE_S)
                runner_histories = {
                    name: await self.fleet.runner_history(name)
                    for name in self.fleet.runner_services
                }
                return broken_promises(
                    self.history, runner_histories, self._was_disrupted
                )
            finally:
                self.fleet.stop()
                nursery.cancel_scope.cancel()

    async def _inject_faults(self, seconds: float) -> None:
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                inject = self._rng.choice(
                    (
                        self._kill,
                        self._pause,
                        self._terminate,
                        self._reload,
                        self._break_link,
                        self._break_runner,
                        self._break_store,
                        self._reconfigure,
                        self._drain_runner,
                        self._restore_store,
                    )
                )
                nursery.start_soon(inject)
                await trio.sleep(self._rng.uniform(0.3, 1.2))

    def _record_fault(
        self, description: str, instance: str = "", duration_s: float = 0.0
    ) -> None:
        now = trio.current_time()
        self.faults.append(f"{now:.2f} {description} {instance}")
        if instance:
            self._disruptions.append(
                (instance, now, now + duration_s + DISRUPTION_GRACE_S)
            )

    def _was_disrupted(self, record: RequestRecord) -> bool:
        end = record.at + record.took_s
        return any(
            name == record.instance and record.at < until and end > since
            for name, since, until in self._disruptions
        )

    def _pick_instance(self):
        name = self._rng.choice(list(self.fleet.front_addresses))
        return name, self.fleet.processes[name]

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

    async def _restart(self, process) -> None:
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
        name = self._rng.choice(list(self.fleet.links))
        fault = self._rng.choice(list(LinkFault)[1:])
        self._record_fault(f"link to {name}: {fault.value}")
        link = self.fleet.links[name]
        link.inject(fault, self._rng)
        await trio.sleep(self._rng.uniform(0.3, 2.5))
        link.fault = LinkFault.NONE

    async def _break_runner(self) -> None:
        name = self._rng.choice(list(self.fleet.runner_services))
        fault = self._rng.choice(RUNNER_FAULTS)
        self._record_fault(f"runner {name}: {fault}")
        await self.fleet.set_runner_faults(name, [fault] * self._rng.randint(1, 6))

    async def _break_store(self) -> None:
        fault = self._rng.choice(STORE_FAULTS)
        self._record_fault(f"store: {fault}")
        await self.fleet.control_store("/knobs", **fault)
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        await self.fleet.control_store("/knobs", **STORE_HEALTHY)

    async def _restore_store(self) -> None:
        """Let the store come back from a backup, then repeat what its writers wrote."""
        seconds_back = self._rng.uniform(0.5, 5.0)
        self._record_fault(f"store restored from {seconds_back:.1f} s ago")
        await self.fleet.control_store("/knobs", refuse=503)
        await trio.sleep(self._rng.uniform(0.1, 1.0))
        await self.fleet.control_store("/restore", seconds_back=seconds_back)
        await self.fleet.control_store("/knobs", **STORE_HEALTHY)
        await trio.sleep(self._rng.uniform(0.1, 1.0))
        value = configuration(self._version)
        await self.fleet.control_store("/put", table="op", key="config", value=value)
        for name in self.fleet.runner_services:
            await self.fleet.list_runner(name)

    async def _reconfigure(self) -> None:
        self._version += self._rng.randint(1, 5)
        self._record_fault(f"configuration {self._version}")
        if self._rng.random() < 0.3:
            await self.fleet.control_store("/forget")
        value = configuration(self._version)
        await self.fleet.control_store("/put", table="op", key="config", value=value)

    async def _drain_runner(self) -> None:
        name = self._rng.choice(list(self.fleet.runner_services))
        self._record_fault(f"runner {name} drains")
        await self.fleet.list_runner(name, "draining")
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        await self.fleet.list_runner(name)


def soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 15.0,
    callers: int = 12,
    size: int = 1,
) -> None:
    """Run consecutive seeds; exit with 1 if a guarantee was violated.

    :param seed: the first seed.
    :param seeds: number of seeds.
    :param seconds: duration of the fault injection for each seed.
    :param callers: number of concurrent callers.
    :param size: size of the fleet; 1 is about a dozen processes, each step adds four
        engines.
    """
    failed = []
    for number in range(seed, seed + seeds):
        run = Soak(number, seconds, callers, size)
        violations = trio.run(run.run)
        served = sum(record.status == 200 and record.is_whole for record in run.history)
        print(f"seed {number}: {served} of {len(run.history)} served, ", end="")
        print(
            f"{len(run.faults)} faults, {len(violations)} promises broken", flush=True
        )
        if violations:
            failed.append(number)
            print("\n".join([*violations[:10], *run.faults]), flush=True)
            print(f"logs: {run._folder}", flush=True)
    print(f"{seeds - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
