"""Starts the processes of a soak test and the proxies between them.

The store stands in for the platform's database, runners stand in for endpoints.
"""

import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing as t

import trio

from foxtailsaddle.forward import KeepAliveHttpClient
from standins.cuts import write_cut
from standins.front_world import configuration

from .agreement import Knowledge, count_incomplete_peers, read_knowledge
from .proxy import Link
from .runner_events import RunnerEventRecord, read_events

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 15.0
UPDATES_KNOWN_S = 6.0  # a silence, and the bound for a lost update
POLL_S = 0.2
CRASHING_PART = "badbad"  # of prompts; it ends each runner that answers it
# Loopback prefix that depends on the process, so that concurrent fleets don't
# share addresses.
LOOPBACK_PREFIX = f"127.{10 + os.getpid() % 200}"
SETTINGS_TEMPLATE = """
node_name = "{name}"
zone = "a"
ip = "{host}"
internal_port_range = [{peer_port}, {peer_port}]
seeds = []
contracts = ["pool"]
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
cold_overshoot = 1.5
cold_slack = 5
grace_period_s = 8
drain_timeout_ms = 2000
budget_slack = 100
[platform]
address = "{store}"
"""


def data_centre_of(runner: str) -> str:
    """Return the data centre of a runner, by the number in its name."""
    return "ab"[int(runner[1:]) % 2]


@dataclasses.dataclass
class Process:
    """A process that is started, signalled and ended through its own handle.

    :param older_build: a checkout of an earlier build, which runs at each second start;
        ``None`` for this build alone.
    """

    name: str
    command: list[str]
    log: pathlib.Path
    older_build: pathlib.Path | None = None
    starts: int = 0
    handle: subprocess.Popen | None = None

    def start(self) -> None:
        """Start or restart the process."""
        environment = dict(os.environ)
        if self.older_build is not None and self.starts % 2:
            environment["PYTHONPATH"] = str(self.older_build / "src")
        self.starts += 1
        with self.log.open("ab") as log:
            self.handle = subprocess.Popen(
                self.command,
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process is not running."""
        return self.handle is None or self.handle.poll() is not None

    def end(self) -> None:
        """Kill the process, even a stopped one, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.handle is not None:
            self.handle.wait()


class SoakFleet:
    """A fleet of real processes, with proxies that can disturb their connections.

    :param folder: directory for settings files and logs.
    :param engines: number of runners of the service ``model``.
    :param plain: number of runners of the service ``plain``.
    :param instances: number of instances.
    :param older_build: a checkout of an earlier build that instances run by turns.
    :param losses: seed of the losses of datagrams between instances; 0 for none.
    :param limits: limits of each instance, by their names in its settings file.
    :ivar runner_services: service of each runner.
    :ivar past_runner_ids: ids of the runners that have ended.
    :ivar links: proxies in front of the runners and the store, by name.
    :ivar front_addresses: host and port of the front listener of each instance.
    :ivar control_addresses: address of the internal listener of each instance.
    :ivar ready_addresses: address of the readiness listener of each instance.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        engines: int,
        plain: int,
        instances: int,
        older_build: pathlib.Path | None = None,
        losses: int = 0,
        limits: dict[str, int] | None = None,
    ):
        self._folder = folder
        self._limits = limits or {}
        self._losses = losses
        self._older_build = older_build
        self._engines = engines
        self._plain = plain
        self._instances = instances
        self.store_port = _free_port(f"{LOOPBACK_PREFIX}.2.1")
        self.store_address = f"{LOOPBACK_PREFIX}.2.1:{self.store_port}"
        self.runner_services: dict[str, str] = {}
        self.runner_ports: dict[str, int] = {}
        self._runner_id_by_name: dict[str, str] = {}
        self.past_runner_ids: list[str] = []
        self._born_ms_by_name: dict[str, int] = {}
        self._starts_by_name: collections.Counter[str] = collections.Counter()
        self.links: dict[str, Link] = {}
        self.front_addresses: dict[str, tuple[str, int]] = {}
        self.control_addresses: dict[str, str] = {}
        self.ready_addresses: dict[str, str] = {}
        self.processes: dict[str, Process] = {}

    async def start(
        self, nursery: trio.Nursery, value: dict[str, t.Any] | None = None
    ) -> None:
        """Start everything and wait until all instances are ready.

        :param value: the first configuration; ``None`` for the usual one.
        """
        self._start_standin(
            "store",
            "store",
            f"--host={LOOPBACK_PREFIX}.2.1",
            f"--port={self.store_port}",
        )
        await self._wait_until_listening(f"{LOOPBACK_PREFIX}.2.1", self.store_port)
        await self.control_store(
            "/put", table="op", key="config", value=value or configuration()
        )
        names = [f"e{number}" for number in range(self._engines)]
        names += [f"p{number}" for number in range(self._plain)]
        for name in names:
            await self._start_runner(name, nursery)
        store_link = Link(
            (f"{LOOPBACK_PREFIX}.2.1", self.store_port), f"{LOOPBACK_PREFIX}.2.2"
        )
        await nursery.start(store_link.run)
        self.links["store"] = store_link
        peer_port = _free_port(f"{LOOPBACK_PREFIX}.3.1", socket.SOCK_DGRAM)
        for number in range(1, self._instances + 1):
            self._start_instance(
                f"i{number}", f"{LOOPBACK_PREFIX}.3.{number}", peer_port
            )
        with trio.fail_after(START_TIMEOUT_S):
            for name in self.ready_addresses:
                while not await self.is_ready(name):
                    await trio.sleep(0.05)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            process.end()

    async def is_ready(self, name: str) -> bool:
        """Return the result of the load balancer's readiness check."""
        try:
            return (
                await _call(self.ready_addresses[name], "GET", "/ready")
            ).status == 200
        except Exception:
            return False

    async def control_store(self, path: str, **fields: t.Any) -> None:
        """Send a control call to the store directly, bypassing its link."""
        await _call(self.store_address, "PUT", path, json.dumps(fields).encode())

    async def set_runner_faults(self, name: str, faults: list[str]) -> None:
        """Set the faults of the next requests of a runner, one each."""
        address = f"{LOOPBACK_PREFIX}.2.1:{self.runner_ports[name]}"
        await _call(address, "PUT", "/fault", json.dumps(faults).encode())

    async def set_runner_knobs(self, name: str, **knobs: t.Any) -> None:
        """Change how a runner answers until further notice."""
        address = f"{LOOPBACK_PREFIX}.2.1:{self.runner_ports[name]}"
        await _call(address, "PUT", "/knobs", json.dumps(knobs).encode())

    async def set_events(self, name: str, events: int) -> None:
        """Set the number of events in each stream of a runner."""
        await self.set_runner_knobs(name, events=events)

    async def held_memory(self, name: str) -> list[str]:
        """Return the ids of the reservations that a runner still holds."""
        reply = await _call(
            f"{LOOPBACK_PREFIX}.2.1:{self.runner_ports[name]}", "GET", "/book"
        )
        return json.loads(reply.body)["tickets"]

    async def knowledge(self) -> dict[str, Knowledge]:
        """Return what each instance that answers knows."""
        known = {
            name: await read_knowledge(address)
            for name, address in self.control_addresses.items()
        }
        return {name: value for name, value in known.items() if value is not None}

    async def lacking_updates(self) -> list[str]:
        """Return a sentence for each instance that goes on lacking others' updates.

        One that was killed just now counts as another for a while.
        """
        lacking: list[str] = []
        with trio.move_on_after(UPDATES_KNOWN_S):
            while lacking := await self._lacking_now():
                await trio.sleep(POLL_S)
        return [f"{name} lacks updates of others" for name in lacking]

    async def _lacking_now(self) -> list[str]:
        return [
            name
            for name, (host, _) in self.front_addresses.items()
            if await count_incomplete_peers(host)
        ]

    def runner_events(self) -> list[RunnerEventRecord]:
        """Return what all runners, past ones too, have received and done."""
        events = []
        for name in self.runner_services:
            events += read_events(self.processes[name].log)
        return sorted(events, key=lambda event: event.at)

    async def list_runner(self, name: str, state: str = "ready") -> None:
        """Write the row of a runner in the ``servers`` table."""
        entry = {
            "service": self.runner_services[name],
            "address": self.links[name].address,
            "zone": data_centre_of(name),
            "slots": 8,
            "state": state,
            "sequence": 1,
            "born": self._born_ms_by_name[name],
        }
        key = self._runner_id_by_name[name]
        await self.control_store("/put", table="servers", key=key, value=entry)

    def runners_in(self, data_centre: str) -> frozenset[str]:
        """Return the ids of the present processes of a data centre's runners."""
        return frozenset(
            id
            for name, id in self._runner_id_by_name.items()
            if data_centre_of(name) == data_centre
        )

    def link_place(self, name: str) -> str:
        """Return the name of the link to the present process of a runner."""
        return f"link {self._runner_id_by_name[name]}"

    def cut_off(self, name: str, kind: str) -> None:
        """Cut an instance off from all runners."""
        addresses = [self.links[runner].address for runner in self.runner_services]
        write_cut(self._cut_file(name), kind, addresses)

    def heal(self, name: str) -> None:
        """Let an instance reach the runners again."""
        write_cut(self._cut_file(name), "", [])

    def _cut_file(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.cut"

    async def drop_row(self, runner_id: str) -> None:
        """Delete the row of a runner that has ended."""
        await self.control_store("/drop", table="servers", key=runner_id)

    async def restart_runner(self, name: str) -> None:
        """Start a runner whose process has ended again, under a new id."""
        await self.drop_row(self._runner_id_by_name[name])
        self.past_runner_ids.append(self._runner_id_by_name[name])
        self._start_runner_process(name)
        host = f"{LOOPBACK_PREFIX}.2.1"
        await self._wait_until_listening(host, self.runner_ports[name])
        await self.list_runner(name)

    async def _start_runner(self, name: str, nursery: trio.Nursery) -> None:
        service = "model" if name.startswith("e") else "plain"
        port = _free_port(f"{LOOPBACK_PREFIX}.2.1")
        self.runner_services[name] = service
        self.runner_ports[name] = port
        self._start_runner_process(name)
        await self._wait_until_listening(f"{LOOPBACK_PREFIX}.2.1", port)
        link = Link((f"{LOOPBACK_PREFIX}.2.1", port), f"{LOOPBACK_PREFIX}.2.3")
        await nursery.start(link.run)
        self.links[name] = link
        await self.list_runner(name)

    def _start_runner_process(self, name: str) -> None:
        self._starts_by_name[name] += 1
        id = f"{name}-{self._starts_by_name[name]}"
        self._runner_id_by_name[name] = id
        self._born_ms_by_name[name] = int(time.time() * 1000)
        options = (
            f"--id={id}",
            f"--service={self.runner_services[name]}",
            f"--host={LOOPBACK_PREFIX}.2.1",
            f"--port={self.runner_ports[name]}",
            f"--crashing-part={CRASHING_PART}",
        )
        self._start_standin(name, "runner", *options)

    def _start_instance(self, name: str, host: str, peer_port: int) -> None:
        front, ready, control = _free_ports(host, 3)
        self.front_addresses[name] = (host, front)
        self.control_addresses[name] = f"{host}:{control}"
        self.ready_addresses[name] = f"{host}:{ready}"
        settings = self._folder / f"{name}.toml"
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                host=host,
                front=front,
                ready=ready,
                control=control,
                peer_port=peer_port,
                store=self.links["store"].address,
            )
            + _limits_table(self._limits)
        )
        command = [sys.executable, "-m", "standins.instance_process"]
        command += [f"--config={settings}", f"--control={self._cut_file(name)}"]
        command += [f"--losses={self._losses}"]
        log = self._folder / f"{name}.log"
        # Every second instance begins with the earlier build.
        starts = len(self.front_addresses) % 2
        self._launch(Process(name, command, log, self._older_build, starts))

    def _start_standin(self, name: str, kind: str, *options: str) -> None:
        command = [sys.executable, "-m", "standins.front_process", kind, *options]
        self._launch(Process(name, command, self._folder / f"{name}.log"))

    def _launch(self, process: Process) -> None:
        self.processes[process.name] = process
        process.start()

    async def _wait_until_listening(self, host: str, port: int) -> None:
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                try:
                    await (await trio.open_tcp_stream(host, port)).aclose()
                except OSError:
                    await trio.sleep(0.05)
                else:
                    return


def _limits_table(limits: dict[str, int]) -> str:
    lines = [f"{name} = {value}" for name, value in limits.items()]
    return "\n".join(["[limits]", *lines, ""])


async def _call(address: str, method: str, path: str, body: bytes | None = None):
    client = KeepAliveHttpClient(address)
    try:
        return await client.call(method, path, body, 2.0)
    finally:
        await client.aclose()


def _free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    (port,) = _free_ports(host, 1, kind)
    return port


def _free_ports(host: str, count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return as many different ports that nobody uses."""
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket.socket(socket.AF_INET, kind))
            for _ in range(count)
        ]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
