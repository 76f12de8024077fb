"""Runs a plan with real processes in real time."""

import pathlib
import tempfile
import time

import trio

from foxtailsaddle.adapters import HttpcoreClient
from standins.caller import Caller
from standins.fleet import Fleet

from .plan import Fault, Plan, PolicyName
from .run import Arrival, Result, draw_arrivals, prompt_text, settings_tree

SETTLE_S = 2.0


def run_real(plan: Plan, load: float) -> Result:
    """Run the product as processes on this machine with the arrivals of the plan.

    The stand-in engines follow their cost model in real time, so a run takes as
    long as the plan says. An overloaded machine shows as a slowdown.
    """
    result = Result(PolicyName.PRODUCT, load, True, [])
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(
            pathlib.Path(folder),
            instances=plan.instances,
            engines=plan.engines,
            plain_services=0,
            tree=settings_tree(plan),
            instance={"drain_s": 0.2, **plan.instance},
        )
        with fleet:
            time.sleep(SETTLE_S)
            trio.run(_send_all, fleet, plan, draw_arrivals(plan, load), result)
    return result


async def _send_all(
    fleet: Fleet, plan: Plan, arrivals: list[Arrival], result: Result
) -> None:
    client = HttpcoreClient()
    async with trio.open_nursery() as nursery:
        started = trio.current_time()
        for fault in plan.faults:
            nursery.start_soon(_inject_fault, fleet, fault, started)
        for arrival in arrivals:
            await trio.sleep_until(started + arrival.at_s)
            nursery.start_soon(_send, fleet, client, plan, arrival, result)
    await client.aclose()


async def _send(
    fleet: Fleet, client: HttpcoreClient, plan: Plan, arrival: Arrival, result: Result
) -> None:
    names = list(fleet.instance_ports)
    url = fleet.process_by_name[names[arrival.instance % len(names)]].url
    caller = Caller(client, arrival.account)
    prompt = prompt_text(arrival)
    record = await caller.complete(url, prompt, plan.output_tokens, plan.allowed_s)
    record.request = record.text = ""
    result.seen.append((arrival, record))


async def _inject_fault(fleet: Fleet, fault: Fault, started: float) -> None:
    await trio.sleep_until(started + fault.at_s)
    process = fleet.process_by_name.get(fault.name)
    if fault.action == "kill":
        process.kill()
    elif fault.action == "freeze":
        process.freeze()
    elif fault.action == "thaw":
        process.thaw()
    elif fault.action == "start" and fault.name in fleet.engine_ports:
        fleet.start_engine(fault.name)
    elif fault.action == "start":
        fleet.start_instance(fault.name)
    elif fault.action == "platform_down":
        fleet.process_by_name["platform"].freeze()
    else:
        fleet.process_by_name["platform"].thaw()
