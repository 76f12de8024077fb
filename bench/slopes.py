"""Measures the slopes that docs/CAPACITY.md is worked out from.

Run it with ``make slopes``. Figures are of this machine; ratios between rows
say more than the rows themselves.
"""

import math
import pathlib
import random
import tempfile
import time
import tracemalloc
import typing as t

import psutil
import trio
from opentelemetry import trace

from foxtailsaddle.adapters import HttpcoreClient, Metrics
from foxtailsaddle.adapters._peer_codec import Envelope, decode, encode
from foxtailsaddle.app import Application, Environment
from foxtailsaddle.app._peering import DIGESTS_PER_HEARTBEAT
from foxtailsaddle.app._router import Wish
from foxtailsaddle.core import (
    DataCentre,
    EndpointId,
    HeartbeatDigest,
    InstanceId,
    InstanceSettings,
    Member,
    Members,
    MemberState,
    Revision,
    RevisionLog,
    ServiceId,
)
from foxtailsaddle.ports import GrantRequest, PeerMessage, QuoteReply, QuoteRequest
from standins.caller import Caller
from standins.fleet import Fleet
from standins.memory import MemoryPeerLinks, Network, VirtualClock

ENDPOINT_COUNTS = (25, 100, 670)
MEMBER_COUNTS = (7, 32, 100, 330)
ACCOUNT_COUNTS = (1_000, 5_000, 35_000)
IDLE_S = 10.0
REQUESTS = 200
MICRO = 1e6
KIB = 1024
MIB = KIB * KIB


def row(name: str, value: float, unit: str) -> None:
    """Print one measured figure."""
    print(f"{name:58} {value:12.2f} {unit}")


def timed_us(action: t.Callable[[], object], times: int) -> float:
    """Return the mean time of an action in microseconds."""
    started = time.perf_counter()
    for _ in range(times):
        action()
    return (time.perf_counter() - started) / times * MICRO


def new_application(endpoints: int) -> Application:
    """Return an application whose settings hold so many endpoints."""
    listen = {"host": "127.0.0.1", "port": 1}
    settings = InstanceSettings(
        id="i0",
        callers=listen,
        operators=listen,
        peers=listen,
        platform_url="http://127.0.0.1:1",
    )
    env = Environment(
        settings=settings,
        incarnation="0",
        clock=VirtualClock(),
        platform=None,
        models=None,
        plain=None,
        links=MemoryPeerLinks(Network(), "i0", "127.0.0.1:1"),
        web=None,
        metrics=Metrics(),
        tracer=trace.NoOpTracer(),
        random=random.Random(1),
    )
    app = Application(env, {})
    rows = {f"e{n}": {"url": f"http://127.0.0.1:{n + 1}"} for n in range(endpoints)}
    patch = {"services": {"drafts": {"endpoints": rows}}}
    app.keeper.log.apply(Revision(1, "c", "a", patch, 0))
    return app


def member(number: int) -> Member:
    """Return a member such as an instance of the target fleet."""
    return Member(
        id=InstanceId(f"instance-{number:03}"),
        incarnation="1800000000000abcdef",
        beat=123_456,
        state=MemberState.LIVE,
        address=f"10.20.30.{number % 250}:7000",
        data_centre=DataCentre(f"region-{number % 2}-dc-{number % 6}"),
        revision=900,
    )


async def measure_routing() -> None:
    """Time one decision over all endpoints, which one instance owns."""
    wish = Wish(ServiceId("drafts"), 4000, 4256)
    for count in ENDPOINT_COUNTS:
        app = new_application(count)
        now = trio.current_time()
        for endpoint in app.router.endpoints(wish.service):
            app.liveness.record_report(EndpointId(endpoint), "1", False, now)
        request = QuoteRequest("drafts", 4000, 4256, 0.0, (), False)
        app.router.answer(request)
        took = timed_us(lambda a=app, r=request: a.router.answer(r), 200)
        row(f"one decision, {count} endpoints in one instance's books", took, "µs")


async def measure_decision() -> None:
    """Time both sides of a decision, less the messages, at target sizes."""
    for instances, endpoints in ((7, 25), (330, 670)):
        app = new_application(endpoints)
        now = trio.current_time()
        for number in range(instances - 1):
            app.members.merge(member(number), now)
        for number in range(endpoints):
            app.liveness.record_report(EndpointId(f"e{number}"), "1", False, now)
        request = QuoteRequest("drafts", 4000, 4256, 0.0, (), False)
        app.router.answer(request)
        name = f"{endpoints} endpoints, {instances} instances"
        took = timed_us(lambda a=app, r=request: a.router.answer(r), 500)
        row(f"an owner's quote, {name}", took, "µs")
        took = timed_us(lambda a=app: dict(a.router._owned(ServiceId("drafts"))), 500)
        row(f"the asker's look at the owners, {name}", took, "µs")


async def measure_gossip() -> None:
    """Measure a heartbeat's size and work against the number of members."""
    for count in MEMBER_COUNTS:
        app = new_application(25)
        now = trio.current_time()
        for number in range(count - 1):
            app.members.merge(member(number), now)
        owned = max(1, 670 // count)
        for number in range(owned):
            app.liveness.record_report(EndpointId(f"e{number}"), "1", False, now)
        beat = app.peering._heartbeat()
        size = len(encode(Envelope(InstanceId("i0"), beat)))
        settings = app.env.settings
        per_s = min(count - 1, settings.gossip_fanout) / settings.heartbeat_s
        row(f"heartbeat, {count} members, {owned} endpoints' words", size, "bytes")
        row("  sent and received", 2 * size * per_s / 1000, "kB/s")
        make = timed_us(app.peering._heartbeat, 100)
        code = timed_us(lambda beat=beat: encode(Envelope(InstanceId("i0"), beat)), 100)
        packed = encode(Envelope(InstanceId("i0"), beat))[4:]
        read = timed_us(lambda packed=packed: decode(packed), 100)
        merged = timed_us(lambda app=app, beat=beat: _merge(app, beat), 100)
        busy = (make + per_s * settings.heartbeat_s * code) / settings.heartbeat_s
        busy += per_s * (read + merged)
        row("  processor time for all beats", busy / MICRO * 100, "% of a core")


def _merge(app: Application, beat: t.Any) -> None:
    now = app.env.clock.now()
    for item in beat.members:
        app.members.merge(item, now)
    digests = zip(
        beat.known_hashes, beat.known_beats, beat.known_revisions, strict=True
    )
    for digest in digests:
        app.members.merge_digest(HeartbeatDigest(*digest), now)


def measure_staleness() -> None:
    """Let many member tables gossip, and see how old what they know gets."""
    settings = new_application(1).env.settings
    rng = random.Random(1)
    for count in MEMBER_COUNTS:
        tables = [Members(member(n), math.inf) for n in range(count)]
        for table in tables:
            for number in range(count):
                table.seed(member(number), 0.0)
        for beat in range(1, 31):
            _gossip_round(tables, beat * settings.heartbeat_s, rng, settings)
        now = 30 * settings.heartbeat_s
        ages = sorted(
            table.silent_s(other.own.id, now)
            for table in tables
            for other in tables
            if other is not table
        )
        row(f"age of heartbeats, {count} members, median", ages[len(ages) // 2], "s")
        row("  99.9th percentile", ages[int(0.999 * (len(ages) - 1))], "s")


def _gossip_round(
    tables: list[Members], now: float, rng: random.Random, settings: InstanceSettings
) -> None:
    for table in tables:
        table.beat()
    for index, table in enumerate(tables):
        digests = table.sample_digests(DIGESTS_PER_HEARTBEAT, now, rng.sample)
        own = HeartbeatDigest(table.own.hash, table.own.beat, table.own.revision)
        for _ in range(min(settings.gossip_fanout, len(tables) - 1)):
            target = rng.randrange(len(tables) - 1)
            target += target >= index
            for digest in (own, *digests):
                tables[target].merge_digest(digest, now)


def measure_messages() -> None:
    """Measure the messages that one request costs between instances."""
    digests = tuple(range(2**60, 2**60 + 8))
    messages: dict[str, PeerMessage] = {
        "quote request": QuoteRequest(
            "drafts", 4000, 4256, 0.1, (), False, tuple(range(8)), digests
        ),
        "quote reply": QuoteReply("endpoint-12", 0.1, 0.2, 0.3, 1024, "1800000000"),
        "grant request": GrantRequest("account/drafts", 4000, 100.0, 1e6, 1e6),
    }
    for name, message in messages.items():
        envelope = Envelope(InstanceId("instance-001"), message, id=7)
        packed = encode(envelope)
        row(f"{name}", len(packed), "bytes")
        work = timed_us(lambda e=envelope: encode(e), 500)
        work += timed_us(lambda p=packed: decode(p[4:]), 500)
        row(f"{name}, written and read", work, "µs")


def measure_settings() -> None:
    """Measure the settings' memory and a change's time against accounts."""
    for count in ACCOUNT_COUNTS:
        accounts = {
            f"account-{n}": {"key_sha256": [f"{n:064x}"], "policy": {"max_attempts": 3}}
            for n in range(count)
        }
        tracemalloc.start()
        log = RevisionLog(8.0)
        log.apply(Revision(1, "c", "a", {"accounts": accounts}, 0))
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        row(f"settings with {count} client accounts", held / MIB, "MiB")
        change = Revision(2, "d", "a", {"base": {"stall_s": 2}}, 0)
        started = time.perf_counter()
        log.apply(change)
        took_s = time.perf_counter() - started
        row("  one change applied", took_s * 1000, "ms")


def measure_processes() -> None:
    """Measure real instances: idle, and per request and token."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        with Fleet(path, instances=3, engines=2, instance={"drain_s": 0.2}) as fleet:
            time.sleep(3)
            process = psutil.Process(fleet.by_name["i1"].popen.pid)
            before = _cpu_s(process)
            time.sleep(IDLE_S)
            idle = (_cpu_s(process) - before) / IDLE_S
            row("idle instance, 3 instances, 2 engines", idle * 100, "% of a core")
            row("idle instance, resident", process.memory_info().rss / MIB, "MiB")
            few = _per_request_ms(fleet, process, 4)
            many = _per_request_ms(fleet, process, 104)
            row("processor time per request of 4 tokens", few, "ms")
            row("processor time per token more", (many - few) * 10, "µs")
            row("after load, resident", process.memory_info().rss / MIB, "MiB")


def _per_request_ms(fleet: Fleet, process: psutil.Process, tokens: int) -> float:
    url = fleet.by_name["i1"].url

    async def main() -> None:
        client = HttpcoreClient()
        caller = Caller(client)

        async def one(number: int) -> None:
            await trio.sleep(number * 0.02)
            await caller.complete(url, f"hello {number}", tokens, 30)

        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(one, number)
        await client.aclose()

    before = _cpu_s(process)
    trio.run(main)
    return (_cpu_s(process) - before) / REQUESTS * 1000


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def main() -> None:
    """Measure and print everything."""
    trio.run(measure_routing)
    trio.run(measure_decision)
    trio.run(measure_gossip)
    measure_staleness()
    measure_messages()
    measure_settings()
    measure_processes()


if __name__ == "__main__":
    main()
