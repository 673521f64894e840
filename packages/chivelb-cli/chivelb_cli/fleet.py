"""Runs a fleet of instances and simulated targets as local processes.

A fleet is one site, that is one whole deployment with all of its availability
zones, whose processes all run on this machine.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import hashlib
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import aiohttp
import msgspec

from chivelb_cli import polling
from chivelb_cli import ports

STOP_TIMEOUT_S = 8.0
START_TIMEOUT_S = polling.START_TIMEOUT_S
POLL_INTERVAL_S = polling.POLL_INTERVAL_S
OPERATOR_KEY = polling.OPERATOR_KEY
FIRST_PORT = ports.FIRST_PORT
PORT_RANGE_COUNT = ports.PORT_RANGE_COUNT
PORTS_PER_RANGE = ports.PORTS_PER_RANGE

free_port = ports.free_port
wait_for = polling.wait_for
operator_get = polling.operator_get
operator_post = polling.operator_post


@dataclasses.dataclass(slots=True)
class EntryInstance:
    """A load balancer instance of the fleet.

    "Entry instance" is the users' term for an instance that takes requests.
    Every instance of a fleet does, so that elsewhere it is called instance.

    Attributes:
        name: Name of the instance.
        zone: Availability zone.
        http_port: HTTP port.
        peer_port: Port of the links between instances.
        data_dir: Path of the data directory; empty unless the instance is
            a voter.
        settings_path: Path of the settings file.
        process: The process; None before the first start.
    """

    name: str
    zone: str
    http_port: int
    peer_port: int
    data_dir: str
    settings_path: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def url(self) -> str:
        """Base URL of HTTP."""
        return f"http://127.0.0.1:{self.http_port}"


@dataclasses.dataclass(slots=True)
class Target:
    """A simulated target of the fleet, or the weight store.

    Attributes:
        identity: Identity of the target.
        port: HTTP port.
        arguments: Command-line arguments after ``chivelb lab``.
        process: The process; None before the first start.
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
    """Local processes that listen on the loopback interface.

    Attributes:
        folder: Directory of settings, logs and data.
        instances: Instances by name.
        targets: Simulated targets by identity, and the weight store as
            ``weights`` if it was started.
        document_path: Path of the initial configuration document.
        keys_path: Path of the file with the peer keys.
        partition_directory: Directory with one file per instance that lists
            the peers and zones it is partitioned from. The setting
            ``cut_file`` of the instance names its file.
    """

    def __init__(self, folder: pathlib.Path, document: dict) -> None:
        """Creates a fleet without processes.

        Args:
            folder: Directory of settings, logs and data.
            document: Initial configuration document, JSON-compatible.
        """
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.instances: dict[str, EntryInstance] = {}
        self.targets: dict[str, Target] = {}
        self.document_path = folder / "document.json"
        self.document_path.write_bytes(msgspec.json.encode(document))
        self.keys_path = folder / "peer-keys"
        self.keys_path.write_text(f"k1 = {secrets.token_hex(32)}\n")
        self.partition_directory = folder / "cuts"
        self.partition_directory.mkdir(exist_ok=True)

    # Instances.

    def configure_instances(
        self,
        zones: list[str],
        per_zone: int,
        *,
        voters: int = 0,
        options: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        """Adds instances and writes their settings.

        Args:
            zones: Names of the availability zones.
            per_zone: Number of instances in each zone.
            voters: Number of instances that vote on configuration changes
                and store idempotency claims, assigned round-robin over the
                zones.
            options: Additional settings by section.
        """
        for number in range(per_zone):
            for zone in zones:
                name = f"{zone}-{number + 1}"
                is_voter = len(self.instances) < voters
                self.instances[name] = EntryInstance(
                    name,
                    zone,
                    free_port(),
                    free_port(),
                    str(self.folder / "data" / name) if is_voter else "",
                    self.folder / f"{name}.ini",
                )
        voter_names = [i.name for i in self.instances.values() if i.data_dir]
        for instance in self.instances.values():
            self._write_settings(instance, voter_names, options or {})

    def _write_settings(
        self, instance: EntryInstance, voters: list[str], options: dict
    ) -> None:
        seeds = [
            f"{other.name}@{other.zone}@127.0.0.1:{other.peer_port}"
            for other in self.instances.values()
            if other is not instance
        ]
        sections: dict[str, dict[str, Any]] = {
            "instance": {
                "name": instance.name,
                "zone": instance.zone,
                "data_dir": instance.data_dir,
            },
            "http": {
                "listen": f"127.0.0.1:{instance.http_port}",
                "drain_grace_s": 0.3,
            },
            "peers": {
                "listen": f"127.0.0.1:{instance.peer_port}",
                "seeds": ", ".join(seeds),
                "keys_file": self.keys_path,
            },
            "control": {
                "voters": ", ".join(voters),
                # A keeper stores a replica of all idempotency claims.
                "keepers": ", ".join(voters),
            },
            "document": {"file": self.document_path},
            "operators": {
                "key_hash": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
            },
            "faults": {"cut_file": self.partition_directory / instance.name},
        }
        for section, values in options.items():
            sections[section].update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        instance.settings_path.write_text("\n".join(lines) + "\n")
        if instance.data_dir:
            pathlib.Path(instance.data_dir).mkdir(parents=True, exist_ok=True)

    def start_instance(self, name: str) -> None:
        """Starts an instance."""
        instance = self.instances[name]
        instance.process = self._spawn(
            name,
            [
                "-m",
                "chivelb_node.app",
                "--settings",
                str(instance.settings_path),
            ],
        )

    def partition_instance(self, name: str, others: list[str]) -> None:
        """Drops traffic between an instance and peers or zones.

        Args:
            name: Name of the instance.
            others: Names of peers and zones; empty removes the partition.
        """
        (self.partition_directory / name).write_text("\n".join(others))

    def partition_zone(self, zone: str) -> None:
        """Partitions a zone from all other zones, on both sides."""
        others = sorted({i.zone for i in self.instances.values()} - {zone})
        for instance in self.instances.values():
            self.partition_instance(
                instance.name, others if instance.zone == zone else [zone]
            )

    def heal_partitions(self) -> None:
        """Removes all network partitions."""
        for name in self.instances:
            self.partition_instance(name, [])

    # Simulated targets.

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
        """Starts a simulated target that announces itself in its zone.

        Args:
            kind: ``runner``, ``store``, or ``service`` for a target of a
                plain (non-model) service.
            identity: Identity of the target.
            zone: Availability zone.
            service: Name of the configured service that the target belongs
                to. The default ``kept`` is a placeholder for stores: a store
                ignores the argument and always announces ``kept``.
            port: HTTP port; 0 selects a free one.
            **options: Additional options of ``chivelb lab``.

        Returns:
            The target.
        """
        port = port or free_port()
        arguments = [kind, "--identity", identity, "--zone", zone]
        arguments += ["--service", service, "--port", str(port)]
        instances = [i for i in self.instances.values() if i.zone == zone]
        start = sum(identity.encode()) % max(1, len(instances))
        for instance in instances[start:] + instances[:start]:
            arguments += ["--announce", instance.url]
        for key, value in options.items():
            flag = f"--{key.replace('_', '-')}"
            arguments += [flag] if value is True else [flag, str(value)]
        target = Target(identity, port, arguments)
        self.targets[identity] = target
        self.restart_target(identity)
        return target

    def restart_target(self, identity: str) -> None:
        """Starts the process of a target, with the same arguments as before."""
        target = self.targets[identity]
        target.process = self._spawn(
            identity, ["-m", "chivelb_cli.main", "lab", *target.arguments]
        )

    def start_weight_store(self, **options: Any) -> Target:
        """Starts the simulated weight store.

        Args:
            **options: Options of ``chivelb lab weights``.
        """
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
        """Returns the process of an instance or target."""
        member = self.instances.get(name) or self.targets[name]
        return member.process

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL to simulate a crash."""
        process = self.process(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        self.process(name).send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        self.process(name).send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Terminates all processes; kills those that do not end in time."""
        members = [*self.instances.values(), *self.targets.values()]
        running = [
            member.process for member in members if member.process is not None
        ]
        for process in running:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            remaining_s = max(0.1, deadline - time.monotonic())
            try:
                process.wait(remaining_s)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # Waiting.

    async def wait_ready(
        self,
        session: aiohttp.ClientSession,
        names: list[str] | None = None,
    ) -> None:
        """Waits until instances are ready.

        Args:
            session: HTTP client session.
            names: Names of the instances; None waits for all.

        Raises:
            TimeoutError: An instance is not ready in time; its log file has
                the cause.
            RuntimeError: The process of an instance has exited.
        """
        for name in names if names is not None else list(self.instances):
            await wait_for(
                lambda name=name: self._is_ready(session, name),
                f"{name} to be ready",
            )

    async def _is_ready(
        self, session: aiohttp.ClientSession, name: str
    ) -> bool:
        instance = self.instances[name]
        code = instance.process.poll()
        if code is not None:
            log = self.folder / f"{name}.log"
            tail = log.read_text(errors="replace")[-800:]
            raise RuntimeError(f"{name} exited with code {code}: {tail}")
        return await polling.is_ready(session, instance.url)

    async def wait_targets(
        self, session: aiohttp.ClientSession, count: int
    ) -> None:
        """Waits until each running instance knows enough targets.

        Args:
            session: HTTP client session.
            count: Minimum number of targets.

        Raises:
            TimeoutError: An instance does not know enough targets in time.
        """
        for instance in self.instances.values():
            if instance.process is None:
                continue

            async def knows_targets(url: str = instance.url) -> bool:
                # ``here`` is the status of the instance that replies.
                status = await operator_get(session, url, "/operator/status")
                return status is not None and (
                    len(status["here"]["targets"]) >= count
                )

            await wait_for(
                knows_targets, f"{instance.name} to know {count} targets"
            )


@contextlib.contextmanager
def temporary_fleet(prefix: str, document: dict) -> Iterator[Fleet]:
    """Provides a fleet in a temporary directory; stops its processes on exit.

    Args:
        prefix: Prefix of the directory's name.
        document: Initial configuration document, JSON-compatible.
    """
    with tempfile.TemporaryDirectory(prefix=prefix) as folder:
        fleet = Fleet(pathlib.Path(folder), document)
        try:
            yield fleet
        finally:
            fleet.stop()
