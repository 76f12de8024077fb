"""Starts instances with the command of the deploy file, on loopback addresses."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import time
import tomllib
import typing as t

from .record import Record
from .wire import Reply, free_port, read_reply

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "calls.example"
KEY = "key-1"
TOUCH_S = 3.0
TOUCH_MARGIN_S = 0.5
READY_TIMEOUT_S = 20.0
POLL_S = 0.05
# Loopback prefix that depends on the process, so that cases can run side by side.
LOOPBACK = f"127.{20 + os.getpid() % 200}"
SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "a"
region = "r"
internal_port_range = [{peers}, {peers_end}]
seeds = {seeds}
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_interval_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
  "tenants", "platform", "spans"]
[zones]
a = "r"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_open_files = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_staleness_s = 3
address_reuse_s = 2
touch_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 3.0
append_per_s = 300
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_per_s = 80.0
"""


def configuration(version: int = 1) -> dict[str, t.Any]:
    """Return a configuration with a safe and an unsafe route to one plain service."""
    common = {
        "host": HOST,
        "service": "plain",
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 2,
    }
    safe = {"name": "lookup", "prefix": "/lookup/", "kind": "safe", "max_attempts": 2}
    unsafe = {"name": "sign", "prefix": "/sign/", "kind": "unsafe", "max_attempts": 1}
    return {
        "version": version,
        "routes": [common | safe, common | unsafe],
        "services": [
            {"name": "plain", "health_path": "/healthz", "max_connections": 96}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
    }


@dataclasses.dataclass
class Instance:
    """One instance and its process.

    :ivar in_touch_from: time from which it is in touch, in seconds of the steady
        clock; infinite while it ends.
    """

    name: str
    host: str
    front: int
    ready: int
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None
    in_touch_from: float = float("inf")

    @property
    def is_in_touch(self) -> bool:
        """Whether the process has run undisturbed for long enough."""
        return time.monotonic() >= self.in_touch_from


class Fleet:
    """The instances of a case.

    :param folder: directory for settings and logs.
    """

    def __init__(
        self, folder: pathlib.Path, store_address: str, count: int, record: Record
    ) -> None:
        self._record = record
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split(" ")
        self.instances: list[Instance] = []
        hosts = [f"{LOOPBACK}.3.{number}" for number in range(1, count + 1)]
        peers = free_port(hosts[0], socket.SOCK_DGRAM)
        controls = [free_port(host) for host in hosts]
        addresses = zip(hosts, controls, strict=True)
        seeds = [f"{host}:{port}" for host, port in addresses][:3]
        for number, host in enumerate(hosts):
            name = f"front-a-{number + 1}"
            front, ready = free_port(host), free_port(host)
            settings = folder / f"{name}.toml"
            settings.write_text(
                SETTINGS.format(
                    name=name,
                    host=host,
                    peers=peers,
                    peers_end=peers + 15,
                    seeds=str(seeds).replace("'", '"'),
                    front=front,
                    ready=ready,
                    control=controls[number],
                    store=store_address,
                )
            )
            log = folder / f"{name}.log"
            self.instances.append(Instance(name, host, front, ready, settings, log))

    def start(self, instance: Instance) -> None:
        """Start the process of an instance as the platform does."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FOXTAILSADDLE_BOOT": str(instance.settings),
        }
        with instance.log.open("ab") as log:
            instance.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        instance.in_touch_from = time.monotonic() + TOUCH_S + TOUCH_MARGIN_S
        self._record.write("instance started", instance=instance.name)

    def signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        instance.in_touch_from = float("inf")
        instance.process.send_signal(number)
        self._record.write("signal", instance=instance.name, signal=number.name)

    async def wait_ended(self, instance: Instance) -> None:
        """Wait until the process of an instance has ended."""
        while instance.process.poll() is None:
            await asyncio.sleep(POLL_S)
        status = instance.process.returncode
        self._record.write("instance ended", instance=instance.name, status=status)

    async def wait_ready(self, instance: Instance) -> None:
        """Wait until the readiness check of an instance succeeds.

        :raises TimeoutError: it does not in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready(instance):
                await asyncio.sleep(POLL_S)
        self._record.write("instance ready", instance=instance.name)

    async def is_ready(self, instance: Instance) -> bool:
        """Return the result of the balancer's readiness check."""
        head = f"GET /ready HTTP/1.1\r\nHost: {instance.host}\r\n\r\n".encode()
        reply = await exchange(instance.host, instance.ready, head, 1.0)
        return reply.status == 200

    async def start_all(self) -> None:
        """Start all instances, and wait until they are ready."""
        for instance in self.instances:
            self.start(instance)
        for instance in self.instances:
            await self.wait_ready(instance)

    def end_all(self) -> None:
        """End all processes that were started."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


class Client:
    """A client that sends each request on a new connection, and records it."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0

    async def ask(
        self,
        instance: Instance,
        path: str,
        body: bytes = b"",
        what: str = "",
        deadline_ms: int = 2500,
    ) -> Reply:
        """Send a request to an instance and return the answer."""
        self._count += 1
        id = f"{self._count:016x}"
        self._record.write("sent", id=id, instance=instance.name, path=path, what=what)
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
            f"Content-Length: {len(body)}",
        ]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        reply = await exchange(instance.host, instance.front, data, deadline_ms / 1000)
        text = reply.body.decode("utf-8", "replace")[:200]
        self._record.write("answered", id=id, status=reply.status, body=text)
        return reply


async def exchange(host: str, port: int, data: bytes, timeout_s: float) -> Reply:
    """Send bytes on a new connection and return the answer; status 0 without one."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(data)
                return await read_reply(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Reply(0, {}, b"")
