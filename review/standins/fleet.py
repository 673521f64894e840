"""Starts a small deployment on loopback and talks to it as its platform does.

The programs are those of ``deploy/system.toml``. Everything else here is a
stand-in that follows the users' pages: a runner that sends heartbeats and runs
requests, an operator, and callers. It needs nothing but the standard library.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("curepe", "arima", "chaguanas")
HEARTBEAT_S = 1.2
HOST = "pule25.example"
MODEL = "daka510000"
# Longest run of a case, in seconds; the issue allows 120.
MAX_RUN_S = 112.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "BackMs": 250,
    "OuterMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 58,
    "RecoverS": 12,
    "FencingRequired": False,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "VersionMs": 10000,
    "VersionAllMs": 14000,
}


def free_ports(count):
    """Returns TCP ports that are free on the loopback network."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


# Last line of a traceback.
ERROR_LINE = re.compile(r"[A-Za-z_.]*(Error|Exception): ")


class Record:
    """Writes what happened to ``record.txt``, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        elapsed_s = time.monotonic() - self.started_at
        print(f"{elapsed_s:8.3f} {text}", file=self.file, flush=True)


class Machine:
    """One machine of the system: its role, addresses and process."""

    def __init__(self, role, ip, zone):
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.exits = []
        self.watch = None
        self.starts = 0


class Deployment:
    """Three core and three front machines, one of each in a zone.

    A process that exits by itself is started again after a second, as the
    platform does.
    """

    def __init__(self, record, *, restart_s=1.0):
        self.record = record
        self.restart_s = restart_s
        self.subnet = f"127.{random.randrange(20, 200)}"
        self.subnet += f".{random.randrange(1, 250)}"
        ports = free_ports(5)
        self.front, self.ready, self.control, self.peer, self.metrics = ports
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.core = [
            Machine("control", f"{self.subnet}.{10 + i}", zone)
            for i, zone in enumerate(ZONES)
        ]
        self.fronts = [
            Machine("entry", f"{self.subnet}.{20 + i}", zone)
            for i, zone in enumerate(ZONES)
        ]
        self.stopping = False
        with (ROOT / "deploy/system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {
            "entry": roles["entry"]["run"].split(),
            "control": roles["control"]["run"].split(),
        }

    def settings(self, machine, *, bootstrap):
        is_core = machine.role == "control"
        listen = (
            {"Control": f"{machine.ip}:{self.control}"}
            if is_core
            else {
                "Front": f"{machine.ip}:{self.front}",
                "ReadyAddr": f"{machine.ip}:{self.ready}",
            }
        )
        data_dir = None
        if is_core:
            data_dir = self.folder / f"disk-{machine.ip}"
            data_dir.mkdir(exist_ok=True)
        return {
            "NodeName": f"{machine.role}-{machine.zone}",
            "Role": machine.role,
            "MachineClass": "core" if is_core else "front",
            "Serves": ["control"] if is_core else ["front"],
            "Ip": machine.ip,
            "Zone": machine.zone,
            "Region": "tt-north",
            "Zones": dict.fromkeys(ZONES, "tt-north"),
            "Listen": listen,
            "InternalPorts": [self.peer, self.metrics],
            "Seeds": [f"{each.ip}:{self.control}" for each in self.core],
            "Bootstrap": bootstrap,
            "LossCounts": is_core,
            "DataDir": None if data_dir is None else str(data_dir),
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "ConfigMode": "highest",
        }

    async def start(self):
        """Starts all machines."""
        for machine in self.core + self.fronts:
            await self.start_machine(machine)

    async def start_machine(self, machine):
        path = self.folder / f"{machine.ip}.json"
        bootstrap = machine.starts == 0
        path.write_text(json.dumps(self.settings(machine, bootstrap=bootstrap)))
        command = [
            str(self.metrics) if word == "7715" else word
            for word in self.commands[machine.role]
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CHIVELB_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        machine.starts += 1
        with (self.folder / f"{machine.ip}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.watch = asyncio.create_task(
            self._restart(machine, machine.process)
        )

    async def _restart(self, machine, process):
        code = await process.wait()
        if self.stopping:
            return
        machine.exits.append(code)
        self.record.write(
            f"EXIT process of {machine.role} {machine.ip} ended: code {code}"
        )
        await asyncio.sleep(self.restart_s)
        if not self.stopping:
            await self.start_machine(machine)

    async def stop(self):
        """Ends all processes that were started here."""
        self.stopping = True
        for machine in self.core + self.fronts:
            if machine.watch is not None:
                machine.watch.cancel()
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def note_errors(self):
        """Records the last line of each traceback in the machines' logs."""
        for machine in self.core + self.fronts:
            path = self.folder / f"{machine.ip}.log"
            if not path.exists():
                continue
            found = {}
            for line in path.read_text(errors="replace").splitlines():
                if ERROR_LINE.match(line):
                    found[line[:160]] = found.get(line[:160], 0) + 1
            for line, count in found.items():
                self.record.write(
                    f"log of {machine.role} {machine.ip}: {line} ({count} x)"
                )

    async def operate(self, method, path, body=b"", *, timeout_s=20.0):
        """Sends an operator's call to the core machines until one accepts."""
        deadline = time.monotonic() + timeout_s
        last = None
        while time.monotonic() < deadline:
            for machine in self.core:
                last = await call(
                    f"{machine.ip}:{self.control}", method, path, body
                )
                if last.status == 200 or 400 <= last.status < 500:
                    return last
            await asyncio.sleep(0.2)
        return last

    async def apply(self, manifest):
        """Applies a manifest and returns the status of its acknowledgement."""
        body = json.dumps(manifest).encode()
        answer = await self.operate("POST", "/configuration/replace", body)
        self.record.write(f"manifest {manifest['Version']}: {answer.status}")
        return answer.status

    async def wait_ready(self, machines=None, timeout_s=30.0):
        """Waits until the front machines say that they are ready."""
        deadline = time.monotonic() + timeout_s
        for machine in machines or self.fronts:
            while True:
                answer = await call(
                    f"{machine.ip}:{self.ready}", "GET", "/readyz"
                )
                if answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True


class Answer:
    """An answer as a client sees it; status 0 stands for no answer."""

    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


async def read_head(reader):
    """Returns the start line and the headers by lower-case name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = lines.split("\r\n")
    headers = {}
    for line in rest:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Returns a whole body; raises if the connection ends too early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read()


async def call(address, method, path, body=b"", headers=(), timeout_s=5.0):
    """Sends one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(address, method, path, body, headers))
            first, fields = await read_head(reader)
            status = int(first.split()[1])
            return Answer(status, fields, await read_body(reader, fields))
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return Answer(error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


def encode_request(address, method, path, body, headers):
    fields = dict(headers)
    fields.setdefault("Host", address)
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Run:
    """One request that a runner has run."""

    def __init__(self, runner, request_id, method, path, headers):
        self.runner = runner
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.at = time.monotonic()
        self.seal = f"{random.getrandbits(64):016x}.{request_id}"


class Runner:
    """A sound runner: sends heartbeats, runs requests and answers them.

    Subclasses override ``answer`` to misbehave.
    """

    def __init__(self, deployment, service, zone, address, *, slots=16):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.identity = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.models = []
        self.runs = []
        self.server = None
        self.task = None
        self.connections = set()
        self.work_s = 0.02
        self.answers = 0

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.task = asyncio.create_task(self._beat())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.close()

    def heartbeat_body(self):
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "unified",
            "Models": self.models,
            "Sequence": self.sequence,
            "born": self.born,
        }

    async def beat_once(self):
        """Sends a heartbeat to one core machine after the other."""
        self.sequence += 1
        body = json.dumps(self.heartbeat_body()).encode()
        machines = random.sample(self.deployment.core, 3)
        for machine in machines:
            answer = await call(
                f"{machine.ip}:{self.deployment.control}",
                "POST",
                f"/instances/{self.identity}/heartbeat",
                body,
                timeout_s=1.0,
            )
            if answer.status == 200:
                return True
        return False

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(
                        int(headers["content-length"])
                    )
                if not await self.respond(writer, method, path, headers, body):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, writer, method, path, headers, body):
        """Answers one request; returns whether the connection is kept."""
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.identity):
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                + f"X-Instance-Id: {self.identity}\r\n".encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            return True
        if "x-request-id" not in headers:
            return await self.respond_to_system(writer, method, path, headers)
        run = Run(self, headers["x-request-id"], method, path, headers)
        self.runs.append(run)
        self.record.write(
            f"run    {run.request_id} at {self.identity} {method} {path}"
        )
        await asyncio.sleep(self.work_s)
        self.answers += 1
        return await self.answer(writer, run)

    async def respond_to_system(self, writer, method, path, headers):
        """Answers the system's own calls."""
        self.answers += 1
        if path.startswith("/kv-events"):
            await asyncio.sleep(int(headers.get("wait-ms", 0)) / 1000)
            page = {"Epoch": self.born, "Next": 1, "Lost": False, "Events": []}
            return self.write_json(writer, page)
        if path.startswith("/kv-list"):
            return self.write_json(
                writer, {"Epoch": self.born, "Next": 1, "Held": []}
            )
        if path.startswith("/report"):
            return self.write_json(
                writer,
                {
                    "Stage": "unified",
                    "Models": self.models,
                    "Busy": False,
                    "Sequence": 0,
                    "Queued": 0,
                    "Running": 0,
                    "KvUsed": 0,
                    "KvTotal": 90000,
                    "Handles": 0,
                },
            )
        writer.write(
            b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        return True

    def write_json(self, writer, value):
        body = json.dumps(value).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        return True

    async def answer(self, writer, run):
        """Writes the answer to a run."""
        writer.write(self.encode_answer(run))
        await writer.drain()
        return True

    def encode_answer(self, run):
        body = f"answer to {run.request_id}\n".encode()
        return (
            b"HTTP/1.1 200 OK\r\n"
            + f"X-Request-Id: {run.request_id}\r\n".encode()
            + f"X-Response-Seal: {run.seal}\r\n".encode()
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )


def manifest(version, *, routes, services, tenants=()):
    """Returns a manifest with the limits of the pages."""
    document = {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
    if tenants:
        document["Tenants"] = list(tenants)
    return document


def route(name, prefix, service, kind="unsafe", attempts=2, **fields):
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 2500,
        "TargetLatencyMs": 150,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": attempts,
        "Public": True,
        "Sticky": False,
        "Resumable": False,
        "TargetGapMs": 300,
        **fields,
    }


def plain_service(name, connections=110):
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConnections": connections,
        "Protocol": "h1",
        "Tls": False,
    }


ENGINE = {
    "Slots": 64,
    "KvCapacity": 169011,
    "KvTokenBytes": 35136,
    "LinkMbps": 1500000.0,
    "Managed": True,
    "Stride": 6,
    "MaxInFlight": 12,
    "PinMs": 4000.0,
    "HoldMs": 2000.0,
    "handle_s": 5.0,
    "Models": [{"Name": MODEL}],
}


def model_service(name, connections=370):
    return {**plain_service(name, connections), "Engine": dict(ENGINE)}


def new_request_id():
    return f"{random.getrandbits(64):016x}"


async def send(deployment, machine, path, *, method="POST", headers=()):
    """Sends a caller's request to a front machine and records the answer."""
    request_id = new_request_id()
    fields = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "2500",
        **dict(headers),
    }
    record = deployment.record
    record.write(f"sent   {request_id} to {machine.ip} {method} {path}")
    answer = await call(
        f"{machine.ip}:{deployment.front}", method, path, b"{}", fields
    )
    answer.request_id = request_id
    said = answer.headers.get("x-result-code") or answer.error or "-"
    record.write(f"answer {request_id} {answer.status} {said}")
    return answer


async def start_runners(deployment, make, zones=ZONES, *, first=40):
    """Starts a runner in each zone and returns them."""
    port = free_ports(1)[0]
    runners = []
    for index, zone in enumerate(zones):
        address = f"{deployment.subnet}.{first + index}:{port}"
        runner = make(deployment, zone, address)
        await runner.start()
        runners.append(runner)
    return runners


def run_case(folder, case):
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case, where its record is written.
        case: Coroutine function that gets the deployment and whether there is
            trouble, and returns whether the rule was broken.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")

    async def main():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                await deployment.start()
                broken = await case(deployment, trouble)
            deployment.note_errors()
            return broken
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(main())
    except BaseException as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        traceback.print_exc()
        sys.exit(EXIT_NOT_RUN)
    result = "BROKEN" if broken else "held"
    record.write(f"rule {result}")
    print(f"rule {result}")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
