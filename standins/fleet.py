"""Starts a small fleet of separate processes for the demo and process tests."""

import dataclasses
import hashlib
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing as t
import urllib.error
import urllib.request

import yaml

from .ports import HOST, PortReservation

CALLER_KEY = "demo-caller-key"
OPERATOR_KEY = "demo-operator-key"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
DATA_CENTRES = ("riga-1", "riga-2", "riga-3")


def sha256(text: str) -> str:
    """Return the hash by which the settings identify a key."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclasses.dataclass
class Process:
    """One running process of the fleet.

    :param url: base URL of its HTTP API.
    """

    name: str
    popen: subprocess.Popen[bytes]
    url: str

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Suspend the process."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the suspended process."""
        self.popen.send_signal(signal.SIGCONT)


class Fleet:
    """A platform, engines, plain services and entry instances as processes.

    :param folder: directory for settings files and logs.
    :param instances: number of entry instances.
    :param engines: number of model engines.
    :param plain_services: number of plain services.
    :param binary: command that runs foxtailsaddle.
    :param tree: replaces parts of the settings tree.
    :param instance: replaces settings of each instance.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int = 3,
        engines: int = 4,
        plain_services: int = 1,
        binary: t.Sequence[str] = (sys.executable, "-m", "foxtailsaddle"),
        tree: dict[str, t.Any] | None = None,
        instance: dict[str, t.Any] | None = None,
    ) -> None:
        self._folder = folder
        self._binary = list(binary)
        self._instance_overrides = instance or {}
        self._tree_overrides = tree or {}
        self._reservation = PortReservation(
            1 + engines + plain_services + 3 * instances
        )
        ports = iter(self._reservation.ports)
        self.platform_port = next(ports)
        self.engine_ports = {f"e{i + 1}": next(ports) for i in range(engines)}
        self.plain_ports = {f"p{i + 1}": next(ports) for i in range(plain_services)}
        self.instance_ports = {
            f"i{i + 1}": (next(ports), next(ports), next(ports))
            for i in range(instances)
        }
        self.process_by_name: dict[str, Process] = {}

    def __enter__(self) -> t.Self:
        self._folder.mkdir(parents=True, exist_ok=True)
        try:
            self.start_all()
        except BaseException:
            self.stop_all()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop_all()

    def start_all(self) -> None:
        """Start every process and wait until the instances are ready."""
        self.start_platform()
        for name in self.engine_ports:
            self.start_engine(name)
        for name in self.plain_ports:
            self.start_plain(name)
        standins = (self.platform_port, *self.engine_ports.values())
        for port in (*standins, *self.plain_ports.values()):
            _wait_for_listener(port)
        for name in self.instance_ports:
            self.start_instance(name)
        for name in self.instance_ports:
            self.wait_ready(name)

    def start_platform(self) -> None:
        """Start the platform."""
        self._start_standin("platform", "standins.platform", self.platform_port)

    def start_engine(self, name: str) -> None:
        """Start one engine."""
        self._start_standin(name, "standins.engine", self.engine_ports[name])

    def start_plain(self, name: str) -> None:
        """Start one plain service."""
        self._start_standin(name, "standins.plain", self.plain_ports[name])

    def start_instance(self, name: str) -> None:
        """Start one entry instance."""
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.settings(name)), encoding="utf-8")
        command = [*self._binary, "serve", "--config", str(path)]
        self._start(name, command, self.instance_ports[name][0])

    def settings(self, name: str) -> dict[str, t.Any]:
        """Return the contents of the settings file of an instance."""
        callers, operators, peers = self.instance_ports[name]
        number = list(self.instance_ports).index(name)
        instance = {
            "id": name,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "callers": {"port": callers},
            "operators": {"port": operators},
            "peers": {"port": peers},
            "platform_url": f"http://{HOST}:{self.platform_port}",
            "operator_key_sha256": {"demo": sha256(OPERATOR_KEY)},
            "seed_peers": [
                {"port": ports[2]}
                for other, ports in self.instance_ports.items()
                if other != name
            ],
            **self._instance_overrides,
        }
        return {"instance": instance, "tree": self.tree()}

    def tree(self) -> dict[str, t.Any]:
        """Return the initial settings tree."""
        return {
            "services": {
                "drafts": {
                    "kind": "model",
                    "endpoints": _endpoints(self.engine_ports),
                },
                "register": {
                    "kind": "plain",
                    "repeatable": False,
                    "outcome_path": "attempts/{attempt}",
                    "endpoints": _endpoints(self.plain_ports),
                },
            },
            "accounts": {"inspector": {"key_sha256": [sha256(CALLER_KEY)]}},
            **self._tree_overrides,
        }

    def wait_ready(self, name: str) -> None:
        """Wait until an instance reports that it is ready.

        :raises RuntimeError: the instance ended.
        :raises TimeoutError: it was not ready within ``START_TIMEOUT_S``.
        """
        process = self.process_by_name[name]
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if process.popen.poll() is not None:
                raise RuntimeError(f'instance "{name}" ended: see its log')
            if _responds_ok(f"{process.url}/readyz"):
                return
            time.sleep(0.1)
        raise TimeoutError(f'instance "{name}" was not ready in time')

    def operator_url(self, name: str) -> str:
        """Return the URL of the operator API of an instance."""
        return f"http://{HOST}:{self.instance_ports[name][1]}"

    def stop_all(self) -> None:
        """Stop all processes in reverse order of their start; give the ports back."""
        for process in reversed(list(self.process_by_name.values())):
            if process.popen.poll() is None:
                process.thaw()
                process.popen.terminate()
        for process in self.process_by_name.values():
            try:
                process.popen.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
        self._reservation.close()

    def _start_standin(self, name: str, module: str, port: int) -> None:
        command = [sys.executable, "-m", module, "--port", str(port)]
        self._start(name, command, port)

    def _start(self, name: str, command: list[str], port: int) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(command, stdout=log, stderr=log)
        self.process_by_name[name] = Process(name, popen, f"http://{HOST}:{port}")


def _endpoints(ports: dict[str, int]) -> dict[str, dict[str, str]]:
    return {
        name: {
            "url": f"http://{HOST}:{port}",
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
        }
        for number, (name, port) in enumerate(ports.items())
    }


def _responds_ok(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return response.status == 200
    except (OSError, urllib.error.URLError):
        return False


def _wait_for_listener(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while not _is_listening(port):
        if time.monotonic() > deadline:
            raise TimeoutError(f"nothing listens on port {port}")
        time.sleep(0.05)


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(0.5)
        return probe.connect_ex((HOST, port)) == 0
