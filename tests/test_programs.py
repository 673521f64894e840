"""Runs an entry and a control instance as processes on loopback."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

import aiohttp
from aiohttp import web
from chivelb_cli import fleet
import pytest

ROOT = pathlib.Path(__file__).parent.parent
CONTROL_IP, ENTRY_IP = "127.0.1.11", "127.0.1.12"
DOCUMENT = {
    "Version": 1,
    "Routes": [
        {
            "Name": "r",
            "Host": "h.example",
            "PathPrefix": "/a/",
            "Kind": "safe",
            "TimeoutMs": 1500,
            "Service": "s",
        }
    ],
    "Services": [{"Name": "s", "MaxConnections": 9}],
}


class InstancePair:
    """An entry and a control instance, their addresses and their logs."""

    def __init__(self, directory):
        self.directory = directory
        ports = [fleet.free_port() for _ in range(5)]
        self.front, self.ready, self.control, self.metrics, self.peer = ports
        self.seed = f"{CONTROL_IP}:{self.control}"
        self.bounds = {"GraceS": 2}
        self.zones = {}

    def settings(self, ip, listen, **fields):
        content = {
            "NodeName": ip,
            "Ip": ip,
            "Zone": "z1",
            "Region": "r1",
            "Listen": listen,
            "InternalPorts": [self.peer, self.peer],
            "Seeds": [self.seed],
            "Bootstrap": True,
            "Bounds": self.bounds,
            "Zones": self.zones,
            **fields,
        }
        path = self.directory / f"{ip}.json"
        path.write_text(json.dumps(content))
        return path

    async def start(self, role, ip, settings):
        with (self.directory / f"{ip}.log").open("wb") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform/start.py"),
                role,
                "--metrics-port",
                str(self.metrics),
                stdout=log,
                env={**os.environ, "CHIVELB_SETTINGS": str(settings)},
            )

    def events(self, ip):
        lines = (self.directory / f"{ip}.log").read_text().splitlines()
        return [json.loads(line)["event"] for line in lines]

    @contextlib.asynccontextmanager
    async def running(self):
        disk = self.directory / "disk"
        disk.mkdir()
        control = await self.start(
            "control",
            CONTROL_IP,
            self.settings(
                CONTROL_IP, {"Control": self.seed}, DataDir=str(disk)
            ),
        )
        entry = await self.start(
            "entry",
            ENTRY_IP,
            self.settings(
                ENTRY_IP,
                {
                    "Front": f"{ENTRY_IP}:{self.front}",
                    "ReadyAddr": f"{ENTRY_IP}:{self.ready}",
                },
            ),
        )
        try:
            yield control, entry
        finally:
            for process in (control, entry):
                if process.returncode is None:
                    process.kill()
                    await process.wait()


async def request_until(session, method, url, status, **options):
    """Repeats a request until its response has the given status."""
    async with asyncio.timeout(30):
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.request(method, url, **options) as response:
                    if response.status == status:
                        return response, await response.text()
            await asyncio.sleep(0.05)


def test_entry_and_control_serve_reload_and_stop(tmp_path):
    async def scenario():
        pair = InstancePair(tmp_path)
        front = f"http://{ENTRY_IP}:{pair.front}"
        ready = f"http://{ENTRY_IP}:{pair.ready}/readyz"
        control = f"http://{pair.seed}/configuration"
        timeout = aiohttp.ClientTimeout(total=5)
        async with (
            pair.running() as (controller, entry),
            aiohttp.ClientSession(timeout=timeout) as session,
        ):
            # Before a document is in force, requests get 503, not 401 or 404;
            # result code 2005 is ``not_ready``.
            response, _ = await request_until(
                session, "GET", f"{front}/a/x", 503
            )
            assert response.headers["X-Result-Code"] == "2005"
            await request_until(
                session, "POST", f"{control}/replace", 400, data=b"{"
            )
            body = json.dumps(DOCUMENT).encode()
            await request_until(
                session, "POST", f"{control}/replace", 200, data=body
            )
            _, text = await request_until(
                session, "GET", f"{control}/describe", 200
            )
            assert text.encode() == body
            await request_until(session, "GET", ready, 200)
            await request_until(session, "GET", f"{front}/nowhere/", 404)
            host = {"Host": "h.example"}
            response, _ = await request_until(
                session, "GET", f"{front}/a/x", 503, headers=host
            )
            # No target has announced itself: 2003 is ``no_target``.
            assert response.headers["X-Result-Code"] == "2003"
            for ip in (CONTROL_IP, ENTRY_IP):
                url = f"http://{ip}:{pair.metrics}/metrics"
                _, text = await request_until(session, "GET", url, 200)
                assert "chivelb_document_version" in text
            assert 'code="2003"' in text
            entry.send_signal(signal.SIGHUP)
            # Time to reload the settings before SIGTERM stops the instance.
            await asyncio.sleep(0.2)
            for process in (entry, controller):
                process.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(process.wait(), 15) == 0
        expected = {"started", "settings reloaded", "stopping", "stopped"}
        assert expected <= set(pair.events(ENTRY_IP))
        expected = {
            "started",
            "document refused",
            "document submitted",
            "stopped",
        }
        assert expected <= set(pair.events(CONTROL_IP))

    asyncio.run(scenario())


# Guards against a process that ends because its settings changed while it was
# starting.
@pytest.mark.parametrize("delay_s", [0.1, 0.2, 0.3, 0.45])
def test_a_change_of_the_settings_ends_no_process_that_starts(
    tmp_path, delay_s
):
    pair = InstancePair(tmp_path)

    async def scenario():
        async with pair.running() as (controller, entry):
            await asyncio.sleep(delay_s)
            for process in (controller, entry):
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(1.5)
            for process in (controller, entry):
                assert process.returncode is None
                process.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(process.wait(), 15) == 0

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def running_target(session, pair, zone):
    """Runs a target that has announced itself; yields its requests."""
    requests = []

    async def respond(request):
        requests.append(request.path)
        request_id = request.headers.get("X-Request-Id", "")
        return web.Response(headers={"X-Request-Id": request_id})

    app = web.Application()
    app.router.add_get("/{path:.*}", respond)
    runner = web.AppRunner(app)
    await runner.setup()
    port = fleet.free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    heartbeat = {
        "Service": "s",
        "Address": f"127.0.0.1:{port}",
        "Zone": zone,
        "Slots": 4,
        "State": "ready",
        "Version": "v1",
        "Sequence": 1,
        "born": 1,
    }
    try:
        url = f"http://{pair.seed}/instances/t-1/heartbeat"
        await request_until(session, "POST", url, 200, json=heartbeat)
        yield requests
    finally:
        await runner.cleanup()


# Guards against orders of the platform's operator that do not reach the entry
# instance, or that a new document ends.
def test_a_zone_is_evacuated_by_the_platforms_calls(tmp_path):
    async def scenario():
        pair = InstancePair(tmp_path)
        pair.zones = {"z1": "r1", "z2": "r1"}
        front = f"http://{ENTRY_IP}:{pair.front}/a/x"
        options = {"headers": {"Host": "h.example", "X-Request-Id": "r-1"}}
        replace = f"http://{pair.seed}/configuration/replace"
        orders = f"http://{pair.seed}/evacuations"
        timeout = aiohttp.ClientTimeout(total=5)
        async with (
            pair.running() as processes,
            aiohttp.ClientSession(timeout=timeout) as session,
        ):
            await request_until(session, "POST", replace, 200, json=DOCUMENT)
            async with running_target(session, pair, "z2") as requests:
                await request_until(session, "GET", front, 200, **options)
                order = f"{orders}/z2/start"
                await request_until(session, "POST", order, 200)
                response, _ = await request_until(
                    session, "GET", front, 503, **options
                )
                assert response.headers["X-Result-Code"] == "2003"
                count = len(requests)
                newer = {**DOCUMENT, "Version": 2}
                await request_until(session, "POST", replace, 200, json=newer)
                order = f"{orders}/z9/start"
                _, text = await request_until(session, "POST", order, 400)
                assert "z1, z2" in text
                for _ in range(20):
                    await request_until(session, "GET", front, 503, **options)
                assert len(requests) == count
                url = f"http://{ENTRY_IP}:{pair.metrics}/metrics"
                _, text = await request_until(session, "GET", url, 200)
                assert 'chivelb_evacuated_zone{zone="z2"} 1.0' in text
                order = f"{orders}/z2/stop"
                await request_until(session, "POST", order, 200)
                await request_until(session, "GET", front, 200, **options)
            route = {**DOCUMENT["Routes"][0], "AllowedRegions": ["r9"]}
            newer = {**DOCUMENT, "Version": 3, "Routes": [route]}
            _, text = await request_until(
                session, "POST", replace, 400, json=newer
            )
            assert "'r9'" in text and "r1" in text
            # A process writes its last lines before it ends.
            for process in processes:
                process.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(process.wait(), 15) == 0
        expected = {"zone evacuated", "evacuation of zone ended"}
        assert expected <= set(pair.events(ENTRY_IP))
        expected = {"evacuation order submitted", "evacuation order refused"}
        assert expected <= set(pair.events(CONTROL_IP))

    asyncio.run(scenario())


def test_invalid_settings_exit_with_an_error_that_names_the_field(tmp_path):
    async def scenario():
        pair = InstancePair(tmp_path)
        path = pair.settings(ENTRY_IP, {}, Zone=7)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform/start.py"),
            "entry",
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "CHIVELB_SETTINGS": str(path)},
        )
        _, printed = await asyncio.wait_for(process.communicate(), 30)
        assert process.returncode == 2
        assert "Zone" in printed.decode()

    asyncio.run(scenario())
