"""Starts a small fleet of local processes, and stops everything it started."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import hashlib
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import aiohttp
import msgspec

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 8.0
POLL_S = 0.05
FIRST_PORT = 10_000
PORT_BLOCKS = 110
PORTS_PER_BLOCK = 200
OPERATOR_KEY = "lab-operator-key"


def _iterate_ports() -> Iterator[int]:
    """Yields ports below those that the system gives to connections.

    Each process has a block of its own, so that fleets side by side do not
    take each other's ports.
    """
    start = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    while True:
        yield from range(start, start + PORTS_PER_BLOCK)


_ports = _iterate_ports()


def free_port() -> int:
    """Returns a port of the loopback that is free for TCP and UDP."""
    for port in _ports:
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


@dataclasses.dataclass(slots=True)
class Entry:
    """An entry instance of the fleet.

    Attributes:
        name: Its name.
        zone: Its zone.
        http: Port of HTTP.
        peers: Port of peer links.
        data: Data folder, or empty.
        settings: Path of the settings file.
        process: The process, or None when stopped.
    """

    name: str
    zone: str
    http: int
    peers: int
    data: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def url(self) -> str:
        """Base URL of HTTP."""
        return f"http://127.0.0.1:{self.http}"


@dataclasses.dataclass(slots=True)
class Target:
    """A stand-in of the fleet.

    Attributes:
        identity: Its identity.
        port: Port of HTTP.
        arguments: Command line after ``chivelb lab``.
        process: The process, or None when stopped.
    """

    identity: str
    port: int
    arguments: list[str]
    process: subprocess.Popen | None = None

    @property
    def url(self) -> str:
        """Base URL of HTTP."""
        return f"http://127.0.0.1:{self.port}"


class Fleet:
    """Processes on the loopback, each with its log in one folder.

    Attributes:
        folder: Folder of settings, logs and data.
        entries: Entry instances by name.
        targets: Stand-ins by identity.
    """

    def __init__(self, folder: pathlib.Path, document: dict) -> None:
        """Creates a fleet without processes.

        Args:
            folder: Folder of settings, logs and data.
            document: The first document as plain data.
        """
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.entries: dict[str, Entry] = {}
        self.targets: dict[str, Target] = {}
        self.document_path = folder / "document.json"
        self.document_path.write_bytes(msgspec.json.encode(document))
        self.keys_path = folder / "peer-keys"
        self.keys_path.write_text(f"k1 = {secrets.token_hex(32)}\n")
        self.cut_folder = folder / "cuts"
        self.cut_folder.mkdir(exist_ok=True)

    # Entry instances.

    def plan_entries(
        self,
        zones: list[str],
        per_zone: int,
        *,
        voters: int = 0,
        options: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        """Writes the settings of entry instances.

        Args:
            zones: Names of the zones.
            per_zone: Instances in each zone.
            voters: How many instances vote and keep claims; the first of
                each zone, one after the other.
            options: More settings by section.
        """
        for number in range(per_zone):
            for zone in zones:
                name = f"{zone}-{number + 1}"
                voting = len(self.entries) < voters
                self.entries[name] = Entry(
                    name,
                    zone,
                    free_port(),
                    free_port(),
                    str(self.folder / "data" / name) if voting else "",
                    self.folder / f"{name}.ini",
                )
        names = [e.name for e in self.entries.values() if e.data]
        for entry in self.entries.values():
            self._write_settings(entry, names, options or {})

    def _write_settings(
        self, entry: Entry, voters: list[str], options: dict
    ) -> None:
        seeds = [
            f"{other.name}@{other.zone}@127.0.0.1:{other.peers}"
            for other in self.entries.values()
            if other is not entry
        ]
        sections: dict[str, dict[str, Any]] = {
            "instance": {
                "name": entry.name,
                "zone": entry.zone,
                "data_dir": entry.data,
            },
            "http": {
                "listen": f"127.0.0.1:{entry.http}",
                "drain_grace_s": 0.3,
            },
            "peers": {
                "listen": f"127.0.0.1:{entry.peers}",
                "seeds": ", ".join(seeds),
                "keys_file": self.keys_path,
            },
            "control": {
                "voters": ", ".join(voters),
                "keepers": ", ".join(voters),
            },
            "document": {"file": self.document_path},
            "operators": {
                "key_hash": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
            },
            "faults": {"cut_file": self.cut_folder / entry.name},
        }
        for section, values in options.items():
            sections[section].update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        entry.settings.write_text("\n".join(lines) + "\n")
        if entry.data:
            pathlib.Path(entry.data).mkdir(parents=True, exist_ok=True)

    def start_entry(self, name: str) -> None:
        """Starts an entry instance."""
        entry = self.entries[name]
        entry.process = self._spawn(
            name,
            ["-m", "chivelb_node.app", "--settings", str(entry.settings)],
        )

    def cut(self, name: str, others: list[str]) -> None:
        """Cuts an instance's links to peers or zones; none heals all."""
        (self.cut_folder / name).write_text("\n".join(others))

    def cut_zone(self, zone: str) -> None:
        """Cuts the links between a zone and all others, on both sides."""
        others = sorted({e.zone for e in self.entries.values()} - {zone})
        for entry in self.entries.values():
            self.cut(entry.name, others if entry.zone == zone else [zone])

    def heal(self) -> None:
        """Heals all cuts."""
        for name in self.entries:
            self.cut(name, [])

    # Stand-ins.

    def start_target(
        self,
        kind: str,
        identity: str,
        zone: str,
        *,
        service: str = "kept",
        port: int = 0,
        **options: Any,
    ) -> Target:
        """Starts a stand-in that announces itself to its zone.

        Args:
            kind: ``runner``, ``store`` or ``service``.
            identity: Its identity.
            zone: Its zone.
            service: Service that it belongs to.
            port: Port of HTTP; 0 takes a free one.
            **options: Further options of ``chivelb lab``.

        Returns:
            The stand-in.
        """
        port = port or free_port()
        arguments = [kind, "--identity", identity, "--zone", zone]
        arguments += ["--service", service, "--port", str(port)]
        entries = [e for e in self.entries.values() if e.zone == zone]
        start = sum(identity.encode()) % max(1, len(entries))
        for entry in entries[start:] + entries[:start]:
            arguments += ["--announce", entry.url]
        for key, value in options.items():
            flag = f"--{key.replace('_', '-')}"
            arguments += [flag] if value is True else [flag, str(value)]
        target = Target(identity, port, arguments)
        self.targets[identity] = target
        self.restart_target(identity)
        return target

    def restart_target(self, identity: str) -> None:
        """Starts a stand-in again with its options."""
        target = self.targets[identity]
        target.process = self._spawn(
            identity, ["-m", "chivelb_cli.main", "lab", *target.arguments]
        )

    def start_weights(self, **options: Any) -> Target:
        """Starts the weight store."""
        port = free_port()
        arguments = ["weights", "--port", str(port)]
        for key, value in options.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        self.targets["weights"] = Target("weights", port, arguments)
        self.restart_target("weights")
        return self.targets["weights"]

    # Processes.

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def process(self, name: str) -> subprocess.Popen:
        """Returns the process of an instance or stand-in."""
        owner = self.entries.get(name) or self.targets[name]
        return owner.process

    def kill(self, name: str) -> None:
        """Ends a process at once, as a crash would."""
        process = self.process(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Stops a process without ending it."""
        self.process(name).send_signal(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        """Lets a paused process go on."""
        self.process(name).send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Ends every process that the fleet started."""
        owners = [*self.entries.values(), *self.targets.values()]
        running = [o.process for o in owners if o.process is not None]
        for process in running:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            left = max(0.1, deadline - time.monotonic())
            try:
                process.wait(left)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # Waiting.

    async def wait_ready(
        self, session: aiohttp.ClientSession, names: list[str] | None = None
    ) -> None:
        """Waits until entry instances are ready.

        Raises:
            TimeoutError: One is not ready in time; its log tells why.
        """
        for name in names if names is not None else list(self.entries):
            await wait_for(
                lambda name=name: self._is_ready(session, name),
                f"{name} to be ready",
            )

    async def _is_ready(
        self, session: aiohttp.ClientSession, name: str
    ) -> bool:
        entry = self.entries[name]
        code = entry.process.poll()
        if code is not None:
            log = self.folder / f"{name}.log"
            tail = log.read_text(errors="replace")[-800:]
            raise RuntimeError(f"{name} ended with code {code}: {tail}")
        return await _is_ready(session, entry.url)

    async def wait_targets(
        self, session: aiohttp.ClientSession, count: int
    ) -> None:
        """Waits until each entry instance knows a number of targets."""
        for entry in self.entries.values():
            if entry.process is None:
                continue

            async def knows(url: str = entry.url) -> bool:
                status = await operator_get(session, url, "/operator/status")
                return status is not None and (
                    len(status["here"]["targets"]) >= count
                )

            await wait_for(knows, f"{entry.name} to know {count} targets")


async def wait_for(condition, what: str, timeout_s: float = START_TIMEOUT_S):
    """Polls until an async condition holds and returns its value.

    Raises:
        TimeoutError: It does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = await condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise TimeoutError(f"gave up waiting for {what}")
        await asyncio.sleep(POLL_S)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(f"{url}/ready") as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def operator_get(
    session: aiohttp.ClientSession, url: str, path: str
) -> Any | None:
    """Asks the operators' interface, or returns None when it fails."""
    headers = {"X-Operator-Key": OPERATOR_KEY}
    try:
        async with session.get(f"{url}{path}", headers=headers) as response:
            if response.status != 200:
                return None
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError):
        return None


async def operator_post(
    session: aiohttp.ClientSession, url: str, path: str, body: Any
) -> tuple[int, Any]:
    """Posts to the operators' interface and returns status and reply."""
    headers = {"X-Operator-Key": OPERATOR_KEY}
    async with session.post(
        f"{url}{path}", data=msgspec.json.encode(body), headers=headers
    ) as response:
        return response.status, msgspec.json.decode(await response.read())
