"""A small deployment on loopback: a store, runners, instances and their clients."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing as t

from .kept import KeptConnection
from .store import Store
from .wire import Reply, ask

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
DEPENDENCIES = ROOT / "target" / "deps"
HOST_NAME = "calls.example"
KEY = "key-1"
READY_WITHIN_S = 20.0
ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 232_000,
    "stride": 43,
    "step_ms": 1.02,
    "per_seq_ms": 0.0045,
    "context_per_k": 0.0043,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "hop_ms": 0.075,
}
# As in the sheet of a small deployment.
BOUNDS = {
    "touch_ms": 3000,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 100,
    "recovery_s": 12,
    "hold_max_ms": 20000,
}


class CaseCouldNotRunError(Exception):
    """The deployment did not start, or the case's own conditions were not met."""


@dataclasses.dataclass(frozen=True)
class RunnerEvent:
    """What a runner reported."""

    at: float
    runner: str
    event: str
    request: str
    fingerprint: str = ""


@dataclasses.dataclass
class Sent:
    """A request of a client, and what it got.

    :ivar is_on_kept: its connection had had another request before.
    """

    id: str
    instance: str
    kind: str
    at: float
    ended_at: float
    reply: Reply
    is_on_kept: bool = False

    @property
    def is_served(self) -> bool:
        """Whether the client got a complete success."""
        return self.reply.status == 200 and self.reply.is_whole


class RunnerProcess:
    """One start of a runner."""

    def __init__(self, fleet: "Fleet", id: str, service: str) -> None:
        self.id = id
        self.service = service
        self.port = 0
        self.born_ms = time.time_ns() // 1_000_000
        self.process: asyncio.subprocess.Process | None = None
        self._fleet = fleet
        self._listening = asyncio.Event()

    async def start(self, options: list[str]) -> None:
        """Start the process and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "review.common2.runner", "--id", self.id),
            *("--host", self._fleet.host(0), *options),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._fleet.processes.append(self.process)
        self._fleet.spawn(self._follow())
        async with asyncio.timeout(READY_WITHIN_S):
            await self._listening.wait()

    async def _follow(self) -> None:
        while line := await self.process.stdout.readline():
            fields = json.loads(line)
            if fields["event"] == "listening":
                self.port = int(fields["port"])
                self._listening.set()
                continue
            event = RunnerEvent(
                fields["at"],
                self.id,
                fields["event"],
                fields["request"],
                fields.get("fingerprint", ""),
            )
            self._fleet.events.append(event)
        await self.process.wait()
        self._fleet.on_runner_ended(self)

    def tell(self, **fields: t.Any) -> None:
        """Change how the runner behaves."""
        self.process.stdin.write(json.dumps(fields).encode() + b"\n")

    def entry(self, **changes: t.Any) -> dict[str, t.Any]:
        """Return the row of the runner in the list."""
        return {
            "service": self.service,
            "address": f"{self._fleet.host(0)}:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": ENGINE["slots"],
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self.born_ms,
        } | changes


class Fleet:
    """The deployment of one script.

    :ivar events: of all runners.
    :ivar sent: requests of all clients, in the order of their ends.
    :ivar on_runner_ended: called when the process of a runner has ended.
    """

    def __init__(self) -> None:
        self._network = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.host(0))
        self.processes: list[asyncio.subprocess.Process] = []
        self.runners: dict[str, RunnerProcess] = {}
        self.instances: dict[str, dict[str, t.Any]] = {}
        self.process_by_instance: dict[str, asyncio.subprocess.Process] = {}
        self.events: list[RunnerEvent] = []
        self.sent: list[Sent] = []
        self.on_runner_ended: t.Callable[[RunnerProcess], None] = lambda _: None
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._next_id = 0
        self._ports = _free_ports(self.host(1))

    def host(self, number: int) -> str:
        """Return a loopback address: 0 of the platform, from 1 on of instances."""
        return f"{self._network}.{number + 1}"

    def spawn(self, task: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task[t.Any]:
        """Run a task in the background."""
        running = asyncio.get_running_loop().create_task(task)
        self._tasks.add(running)
        running.add_done_callback(self._tasks.discard)
        return running

    async def start_store(self, **changes: t.Any) -> None:
        """Start the store with a configuration in it."""
        await self.store.start()
        self.store.put("op", "config", configuration(**changes))

    async def start_runner(
        self, id: str, service: str, options: list[str]
    ) -> RunnerProcess:
        """Start a runner and list it."""
        runner = RunnerProcess(self, id, service)
        await runner.start(options)
        self.runners[id] = runner
        self.store.put("servers", id, runner.entry())
        return runner

    async def start_instances(self, count: int) -> None:
        """Start instances with the command of the deploy file, until all are ready."""
        for number in range(1, count + 1):
            self._write_settings(number, count)
        for name in self.instances:
            await self.start_instance(name)
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all instances are ready."""
        async with asyncio.timeout(READY_WITHIN_S):
            for fields in self.instances.values():
                while not await self._is_ready(fields):
                    await asyncio.sleep(0.05)

    async def start_instance(self, name: str) -> None:
        """Start the process of an instance."""
        role = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["entry"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(DEPENDENCIES),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FOXTAILSADDLE_BOOT": str(self._folder / f"{name}.toml"),
        }
        with open(self._folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.process_by_instance[name] = process

    async def ask(
        self,
        instance: str,
        kind: str,
        *,
        method: str = "POST",
        suffix: str = "x",
        body: bytes = b"",
        headers: t.Mapping[str, str] | None = None,
        deadline_s: float = 10.0,
        kept: KeptConnection | None = None,
    ) -> Sent:
        """Send a request and record what came.

        :param kept: the connection to use; a new one for this request otherwise.
        """
        self._next_id += 1
        id = f"{self._next_id:016x}"
        fields = {
            "Host": HOST_NAME,
            "X-Request-Id": id,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            "Authorization": f"Token {KEY}",
            **(headers or {}),
        }
        head = [f"{method} /{kind}/{suffix} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in fields.items()]
        at = time.monotonic()
        host, port = self.instances[instance]["ip"], self._ports["front"]
        is_on_kept = kept is not None and kept.is_open
        if kept is None:
            reply = await ask(host, port, head, body, deadline_s)
        else:
            reply = await kept.ask(head, body, deadline_s)
        sent = Sent(id, instance, kind, at, time.monotonic(), reply, is_on_kept)
        self.sent.append(sent)
        return sent

    def keep_connection(self, instance: str) -> KeptConnection:
        """Return a connection of a client to an instance."""
        return KeptConnection(self.instances[instance]["ip"], self._ports["front"])

    async def close(self) -> None:
        """End all processes that this script has started."""
        for task in list(self._tasks):
            task.cancel()
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def log_lines(self, instance: str) -> list[dict[str, t.Any]]:
        """Return what an instance has logged so far."""
        lines = (self._folder / f"{instance}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def _is_ready(self, fields: dict[str, t.Any]) -> bool:
        head = ["GET /ready HTTP/1.1", "Host: ready"]
        reply = await ask(fields["ip"], self._ports["ready"], head, b"", 1.0)
        return reply.status == 200

    def _write_settings(self, number: int, count: int) -> None:
        name, ip, ports = f"front-a-{number}", self.host(number), self._ports
        seeds = [
            f"{self.host(n)}:{ports['control']}" for n in range(1, min(3, count) + 1)
        ]
        fields = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "internal_port_range": [ports["peers"], ports["peers"] + 15],
            "seeds": seeds,
            "bootstrap": True,
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "engine", "stream", "tenants"],
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        tables = {
            "zones": {"a": "r"},
            "listen": {
                page: f"{ip}:{ports[page]}" for page in ("front", "ready", "control")
            },
            "limits": {"cpu_share": 0.5, "memory_mb": 300, "max_open_files": 4200},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.store.host}:{self.store.port}",
                "form": "table",
                "history_s": 20,
            },
        }
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        (self._folder / f"{name}.toml").write_text("\n".join(lines) + "\n")
        self.instances[name] = fields


def configuration(**changes: t.Any) -> dict[str, t.Any]:
    """Return a configuration with a stream, a safe and an unsafe route."""
    common = {"host": HOST_NAME, "timeout_ms": 10_000, "priority": 1}
    stream = {
        "name": "stream",
        "prefix": "/stream/",
        "kind": "stream",
        "service": "model",
        "max_attempts": 2,
        "resumable": True,
        "sticky": True,
        "target_latency_ms": 300,
        "target_gap_ms": 250,
    }
    plain = {"service": "plain", "target_latency_ms": 200}
    safe = {"name": "safe", "prefix": "/safe/", "kind": "safe", "max_attempts": 2}
    unsafe = {"name": "unsafe", "prefix": "/unsafe/", "kind": "unsafe"}
    return {
        "version": 3,
        "routes": [
            common | stream,
            common | plain | safe,
            common | plain | unsafe | {"max_attempts": 1},
        ],
        "services": [
            {
                "name": "model",
                "health_path": "/healthz",
                "max_connections": 264,
                "engine": ENGINE,
            },
            {"name": "plain", "health_path": "/healthz", "max_connections": 96},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": "account-1", "api_keys": [KEY]}],
    } | changes


def _free_ports(host: str) -> dict[str, int]:
    """Return ports that are free on an address, the same for all instances."""
    names = ("front", "ready", "control", "peers")
    sockets = [socket.socket() for _ in names]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        numbers = (sock.getsockname()[1] for sock in sockets)
        return dict(zip(names, numbers, strict=True))
    finally:
        for sock in sockets:
            sock.close()
