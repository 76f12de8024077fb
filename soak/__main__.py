"""The soak's command: seeds in, broken promises out."""

import pathlib
import random
import signal
import sys
import tempfile

import fire
import trio

from standins.front_world import configuration

from .callers import Asked, Caller
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
STORE_CALM = {"refuse": 0, "silent": False, "slow_s": 0.0, "lose_writes": 0}
EXCUSE_S = 4.0  # after a fault on the caller's own instance
CALM_S = 6.0


class Soak:
    """One seed: a fleet, callers, and faults that overlap."""

    def __init__(self, seed: int, seconds: float, callers: int, size: int) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._callers = callers
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.fleet = SoakFleet(self._folder, engines=4 * size, plain=3, instances=3)
        self.history: list[Asked] = []
        self.events: list[str] = []
        self._struck: list[tuple[str, float, float]] = []
        self._version = 1

    async def run(self) -> list[str]:
        """Run the soak; return the promises that were broken."""
        async with trio.open_nursery() as nursery:
            try:
                await self.fleet.start(nursery)
                async with trio.open_nursery() as asking:
                    for number in range(self._callers):
                        rng = random.Random(self._rng.random())
                        caller = Caller(number, self.fleet, rng, self.history)
                        asking.start_soon(caller.run)
                    await self._strike_for(self._seconds)
                    asking.cancel_scope.cancel()
                await trio.sleep(CALM_S)
                books = {
                    name: await self.fleet.book(name)
                    for name in self.fleet.runner_services
                }
                return broken_promises(self.history, books, self._is_excused)
            finally:
                self.fleet.stop()
                nursery.cancel_scope.cancel()

    async def _strike_for(self, seconds: float) -> None:
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                strike = self._rng.choice(
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
                    )
                )
                nursery.start_soon(strike)
                await trio.sleep(self._rng.uniform(0.3, 1.2))

    def _note(self, what: str, instance: str = "", for_s: float = 0.0) -> None:
        now = trio.current_time()
        self.events.append(f"{now:.2f} {what} {instance}")
        if instance:
            self._struck.append((instance, now, now + for_s + EXCUSE_S))

    def _is_excused(self, asked: Asked) -> bool:
        end = asked.at + asked.took_s
        return any(
            name == asked.instance and asked.at < until and end > since
            for name, since, until in self._struck
        )

    def _an_instance(self):
        name = self._rng.choice(list(self.fleet.fronts))
        return name, self.fleet.processes[name]

    async def _kill(self) -> None:
        name, process = self._an_instance()
        self._note("kill", name, 1.0)
        process.signal(signal.SIGKILL)
        await self._start_again(process)

    async def _pause(self) -> None:
        name, process = self._an_instance()
        for_s = self._rng.uniform(0.5, 3.0)
        self._note("pause", name, for_s)
        process.signal(signal.SIGSTOP)
        await trio.sleep(for_s)
        process.signal(signal.SIGCONT)

    async def _terminate(self) -> None:
        name, process = self._an_instance()
        self._note("terminate", name, 9.0)
        process.signal(signal.SIGTERM)
        await self._start_again(process)

    async def _start_again(self, process) -> None:
        while not process.has_ended:
            await trio.sleep(0.05)
        await trio.sleep(self._rng.uniform(0.1, 0.6))
        if process.has_ended:
            process.start()

    async def _reload(self) -> None:
        name, process = self._an_instance()
        self._note(f"reload of {name}")
        process.signal(signal.SIGHUP)

    async def _break_link(self) -> None:
        name = self._rng.choice(list(self.fleet.links))
        fault = self._rng.choice(list(LinkFault)[1:])
        self._note(f"link to {name}: {fault.value}")
        link = self.fleet.links[name]
        link.strike(fault, self._rng)
        await trio.sleep(self._rng.uniform(0.3, 2.5))
        link.fault = LinkFault.NONE

    async def _break_runner(self) -> None:
        name = self._rng.choice(list(self.fleet.runner_services))
        fault = self._rng.choice(RUNNER_FAULTS)
        self._note(f"runner {name}: {fault}")
        await self.fleet.steer_runner(name, [fault] * self._rng.randint(1, 6))

    async def _break_store(self) -> None:
        fault = self._rng.choice(STORE_FAULTS)
        self._note(f"store: {fault}")
        await self.fleet.steer_store("/knobs", **fault)
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        await self.fleet.steer_store("/knobs", **STORE_CALM)

    async def _reconfigure(self) -> None:
        self._version += self._rng.randint(1, 5)
        self._note(f"configuration {self._version}")
        if self._rng.random() < 0.3:
            await self.fleet.steer_store("/forget")
        value = configuration(self._version)
        await self.fleet.steer_store("/put", table="op", key="config", value=value)

    async def _drain_runner(self) -> None:
        name = self._rng.choice(list(self.fleet.runner_services))
        self._note(f"runner {name} drains")
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
    """Run consecutive seeds; exit with 1 when a promise was broken.

    :param size: 1 is a dozen processes.
    """
    failed = []
    for number in range(seed, seed + seeds):
        run = Soak(number, seconds, callers, size)
        broken = trio.run(run.run)
        served = sum(asked.status == 200 and asked.is_whole for asked in run.history)
        print(f"seed {number}: {served} of {len(run.history)} served, ", end="")
        print(f"{len(run.events)} faults, {len(broken)} promises broken", flush=True)
        if broken:
            failed.append(number)
            print("\n".join([*broken[:10], *run.events]), flush=True)
            print(f"logs: {run._folder}", flush=True)
    print(f"{seeds - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
