"""What one placement costs: books, candidates and the choice, by fleet size.

No network: a fleet's beliefs are made up, with four requests at each engine, and
the processor time of whole decisions is measured.
"""

import random
import time

import fire

from foxtailsaddle.core import (
    AttemptOutcome,
    DataCentre,
    EndpointId,
    EndpointState,
    InstanceId,
    Job,
    JobId,
    ListedEndpoint,
    RetryWindow,
    ServiceId,
)
from foxtailsaddle.forward._fleet import FleetState
from foxtailsaddle.forward._stream_placer import StreamPlacer
from tests.engines import SPEC

SERVICE = ServiceId("model")
SIZES = (23, 78, 670)
KINDS = {"short": (4_960, 1_360, 0.3, 0.25), "long": (190_000, 700, 3.0, 1.0)}
REQUESTS_AT_EACH = 4
DATA_CENTRES = 3
NOW = 100.0


def fleet_of(size: int, rng: random.Random) -> FleetState:
    """Return the beliefs of an instance of a busy fleet."""
    fleet = FleetState(InstanceId("i1"), RetryWindow(0.2, 10.0, 100.0))
    for number in range(size):
        endpoint = EndpointId(f"model-{number}")
        fleet.endpoints.put(
            ListedEndpoint(
                endpoint,
                SERVICE,
                f"10.0.0.1:{number}",
                DataCentre(f"dc{number % DATA_CENTRES}"),
                EndpointState.READY,
            )
        )
        fleet.health.record_outcome(endpoint, AttemptOutcome.GOOD, NOW)
        for _ in range(REQUESTS_AT_EACH):
            job = Job(
                JobId(rng.getrandbits(60)),
                InstanceId("i2"),
                endpoint,
                (),
                prompt_tokens=rng.randrange(1_000, 20_000),
                output_tokens=1_000,
                part_ms=20.0,
                gap_ms=rng.choice((250.0, 600.0, 1_000.0)),
                weight=1.0,
            )
            fleet.engine_loads.place(job, 3_000.0, NOW)
    return fleet


def measure(repeats: int = 200) -> None:
    """Print the processor time of a decision, by kind of prompt and fleet."""
    for size in SIZES:
        fleet = fleet_of(size, random.Random(size))
        placing = StreamPlacer(fleet, DataCentre("dc0"))
        for kind, (tokens, output, aim_s, gap_s) in KINDS.items():
            demand = placing.demand(tokens, output, aim_s, gap_s)
            began = time.process_time()
            for _ in range(repeats):
                placing.place(SERVICE, SPEC, demand, (), (), NOW)
            ms = (time.process_time() - began) / repeats * 1000
            print(f"{kind} prompt, {size} engines: {ms:.2f} ms of processor")


if __name__ == "__main__":
    fire.Fire(measure)
