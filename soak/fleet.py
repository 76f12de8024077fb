"""The processes of one soak: store, runners, instances, and links between them."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import typing as t

import trio

from foxtailsaddle.forward import KeepAliveHttpClient
from standins.front_world import configuration

from .proxy import Link

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_S = 15.0
BASE = f"127.{10 + os.getpid() % 200}"  # so that fleets side by side don't meet
SETTINGS = """
node_name = "{name}"
zone = "a"
ip = "{host}"
internal_port_range = [{peer_port}, {peer_port}]
seeds = []
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
grace_period_s = 8
drain_timeout_ms = 2000
budget_slack = 100
[platform]
address = "{store}"
"""


@dataclasses.dataclass
class Process:
    """One process; it is started, signalled and ended only by its own handle."""

    name: str
    command: list[str]
    log: pathlib.Path
    handle: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it, or start it again."""
        with self.log.open("ab") as log:
            self.handle = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether it has ended."""
        return self.handle is None or self.handle.poll() is not None

    def end(self) -> None:
        """End it for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.handle is not None:
            self.handle.wait()


class SoakFleet:
    """All processes, by name, and the links that faults strike."""

    def __init__(self, folder: pathlib.Path, engines: int, plain: int, instances: int):
        self._folder = folder
        self._engines = engines
        self._plain = plain
        self._instances = instances
        self.store_port = _free_port(f"{BASE}.2.1")
        self.store_address = f"{BASE}.2.1:{self.store_port}"
        self.runner_services: dict[str, str] = {}
        self.runner_ports: dict[str, int] = {}
        self.links: dict[str, Link] = {}
        self.fronts: dict[str, tuple[str, int]] = {}
        self.ready: dict[str, str] = {}
        self.processes: dict[str, Process] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything and wait until all instances are ready."""
        self._add("store", "store", f"--host={BASE}.2.1", f"--port={self.store_port}")
        await self._until_listening(f"{BASE}.2.1", self.store_port)
        await self.steer_store("/put", table="op", key="config", value=configuration())
        names = [f"e{number}" for number in range(self._engines)]
        names += [f"p{number}" for number in range(self._plain)]
        for name in names:
            await self._start_runner(name, nursery)
        store_link = Link((f"{BASE}.2.1", self.store_port), f"{BASE}.2.2")
        await nursery.start(store_link.run)
        self.links["store"] = store_link
        peer_port = _free_port(f"{BASE}.3.1", socket.SOCK_DGRAM)
        for number in range(1, self._instances + 1):
            self._start_instance(f"i{number}", f"{BASE}.3.{number}", peer_port)
        with trio.fail_after(START_S):
            for name in self.ready:
                while not await self.is_ready(name):
                    await trio.sleep(0.05)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            process.end()

    async def is_ready(self, name: str) -> bool:
        """Ask an instance as the balancer does."""
        try:
            return (await _call(self.ready[name], "GET", "/ready")).status == 200
        except Exception:
            return False

    async def steer_store(self, path: str, **fields: t.Any) -> None:
        """Change the store as its operator, past all faults."""
        await _call(self.store_address, "PUT", path, json.dumps(fields).encode())

    async def steer_runner(self, name: str, faults: list[str]) -> None:
        """Set what a runner does wrong with the coming requests."""
        address = f"{BASE}.2.1:{self.runner_ports[name]}"
        await _call(address, "PUT", "/fault", json.dumps(faults).encode())

    async def set_events(self, name: str, events: int) -> None:
        """Set how many events the streams of a runner have."""
        address = f"{BASE}.2.1:{self.runner_ports[name]}"
        await _call(address, "PUT", "/events", json.dumps(events).encode())

    async def book(self, name: str) -> dict[str, list[str]]:
        """Return what reached a runner."""
        reply = await _call(f"{BASE}.2.1:{self.runner_ports[name]}", "GET", "/book")
        return json.loads(reply.body)

    async def list_runner(self, name: str, state: str = "ready") -> None:
        """Write a runner's entry into the list."""
        entry = {
            "service": self.runner_services[name],
            "address": self.links[name].address,
            "zone": "a",
            "slots": 8,
            "state": state,
            "sequence": 1,
        }
        await self.steer_store("/put", table="servers", key=name, value=entry)

    async def _start_runner(self, name: str, nursery: trio.Nursery) -> None:
        service = "model" if name.startswith("e") else "plain"
        port = _free_port(f"{BASE}.2.1")
        self.runner_services[name] = service
        self.runner_ports[name] = port
        options = (f"--id={name}", f"--service={service}", f"--host={BASE}.2.1")
        self._add(name, "runner", *options, f"--port={port}")
        await self._until_listening(f"{BASE}.2.1", port)
        link = Link((f"{BASE}.2.1", port), f"{BASE}.2.3")
        await nursery.start(link.run)
        self.links[name] = link
        await self.list_runner(name)

    def _start_instance(self, name: str, host: str, peer_port: int) -> None:
        front, ready, control = (_free_port(host) for _ in range(3))
        self.fronts[name] = (host, front)
        self.ready[name] = f"{host}:{ready}"
        settings = self._folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                front=front,
                ready=ready,
                control=control,
                peer_port=peer_port,
                store=self.links["store"].address,
            )
        )
        command = [sys.executable, "-m", "foxtailsaddle", "serve-platform"]
        command.append(f"--config={settings}")
        self._launch(Process(name, command, self._folder / f"{name}.log"))

    def _add(self, name: str, kind: str, *options: str) -> None:
        command = [sys.executable, "-m", "standins.front_process", kind, *options]
        self._launch(Process(name, command, self._folder / f"{name}.log"))

    def _launch(self, process: Process) -> None:
        self.processes[process.name] = process
        process.start()

    async def _until_listening(self, host: str, port: int) -> None:
        with trio.fail_after(START_S):
            while True:
                try:
                    await (await trio.open_tcp_stream(host, port)).aclose()
                except OSError:
                    await trio.sleep(0.05)
                else:
                    return


async def _call(address: str, method: str, path: str, body: bytes | None = None):
    caller = KeepAliveHttpClient(address)
    try:
        return await caller.call(method, path, body, 2.0)
    finally:
        await caller.aclose()


def _free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]
