"""Command line of the soak test: runs seeds and prints violated guarantees."""

import contextlib
import pathlib
import random
import sys
import tempfile
import time

import fire
import trio

from foxtailsaddle.errors import FoxtailsaddleError

from .agreement import disagreements
from .callers import Caller, RequestRecord
from .disruptions import Disruptions
from .endpoint_promises import broken_endpoint_promises
from .fleet import SoakFleet
from .injector import Injector
from .limits import LimitHistory
from .promises import Evidence, broken_promises

# A request may be answered late while its instance has a fault and this long after.
DISRUPTION_GRACE_S = 4.0
# Time for requests to end and reservations to be released before the check.
SETTLE_S = 6.0
FEW_INSTANCES = 3  # all of them read the store
MORE_INSTANCES = 5
# Kinds of fault beside which every request can be served in time.
SILENT_KINDS = {"silence", "limits", "configuration", "reload"}


class Soak:
    """Runs a fleet and callers with overlapping faults from one seed.

    :param seconds: duration of the fault injection.
    :param callers: number of concurrent callers.
    :param size: the fleet has four engines per unit of size.
    :param kinds: kinds of fault to choose from; empty for all.
    :param older_build: folder of a checkout of an earlier build that instances run by
        turns; empty for none.
    :ivar history: all requests that were sent.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        callers: int,
        size: int,
        kinds: tuple[str, ...] = (),
        older_build: str = "",
    ) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._callers = callers
        self._only_silences = bool(kinds) and set(kinds) <= SILENT_KINDS
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.fleet = SoakFleet(
            self.folder,
            engines=4 * size,
            plain=3,
            instances=FEW_INSTANCES if seed % 2 == 0 else MORE_INSTANCES,
            older_build=pathlib.Path(older_build).resolve() if older_build else None,
            losses=seed,
        )
        self.history: list[RequestRecord] = []
        self._disruptions = Disruptions(DISRUPTION_GRACE_S)
        self._limits = LimitHistory(self._rng, time.monotonic())
        self._injector = Injector(
            self.fleet, self._rng, self._limits, self._disruptions, kinds
        )

    @property
    def faults(self) -> list[str]:
        """Descriptions of the injected faults, with their times."""
        return self._injector.faults

    async def run(self) -> list[str]:
        """Run the soak test; return a sentence for each violation of a guarantee."""
        async with trio.open_nursery() as nursery:
            try:
                await self.fleet.start(nursery, self._limits.value)
                nursery.start_soon(self._injector.revive_runners)
                async with trio.open_nursery() as requests:
                    for number in range(self._callers):
                        requests.start_soon(self._new_caller(number).run)
                    await self._injector.run(self._seconds)
                    requests.cancel_scope.cancel()
                await trio.sleep(SETTLE_S)
                evidence = await self._gather_evidence()
                return [
                    *broken_promises(evidence),
                    *broken_endpoint_promises(evidence),
                    *disagreements(await self.fleet.knowledge()),
                    *await self.fleet.lacking_updates(),
                ]
            finally:
                self.fleet.stop()
                nursery.cancel_scope.cancel()

    def _new_caller(self, number: int) -> Caller:
        return Caller(
            number,
            self.fleet,
            random.Random(self._rng.random()),
            self.history,
            lambda: self._limits.for_clients(time.monotonic()),
            lambda: self._injector.sends_crashing,
        )

    async def _gather_evidence(self) -> Evidence:
        held: dict[str, list[str]] = {}
        for name in self.fleet.runner_services:
            with contextlib.suppress(FoxtailsaddleError):  # it is being restarted
                held[name] = await self.fleet.held_memory(name)
        return Evidence(
            self.history,
            self.fleet.runner_events(),
            held,
            self._disruptions,
            self._limits,
            self._only_silences,
            self._injector.unframed_runners,
            self._injector.cuts,
            self._injector.evacuations,
        )


def soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 15.0,
    callers: int = 12,
    size: int = 1,
    kinds: str = "",
    older_build: str = "",
) -> None:
    """Run consecutive seeds; exit with 1 if a guarantee was violated.

    :param seed: the first seed.
    :param seeds: number of seeds.
    :param seconds: duration of the fault injection for each seed.
    :param callers: number of concurrent callers.
    :param size: size of the fleet; 1 is about a dozen processes, each step adds four
        engines.
    :param kinds: kinds of fault to choose from, joined by ``+``; empty for all.
    :param older_build: folder of a checkout of an earlier build that instances run by
        turns; choose kinds of which that build knows.
    """
    chosen_kinds = tuple(kinds.split("+")) if kinds else ()
    failed = []
    for number in range(seed, seed + seeds):
        run = Soak(number, seconds, callers, size, chosen_kinds, older_build)
        violations = trio.run(run.run)
        served = sum(record.status == 200 and record.is_whole for record in run.history)
        print(f"seed {number}: {served} of {len(run.history)} served, ", end="")
        print(
            f"{len(run.faults)} faults, {len(violations)} promises broken", flush=True
        )
        if violations:
            failed.append(number)
            print("\n".join([*violations[:10], *run.faults]), flush=True)
            print(f"logs: {run.folder}", flush=True)
    print(f"{seeds - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
