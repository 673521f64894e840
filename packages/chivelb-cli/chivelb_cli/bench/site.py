"""Starts the fleet of a scenario and carries out its timetable."""

import asyncio
import pathlib
import shutil
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples
from chivelb_cli.bench import scenario as scenario_lib

RACERS = 4


class Site:
    """The processes of a scenario.

    Attributes:
        scenario: The scenario.
        fleet: Its processes.
        session: Client session for orders to them.
        in_use: Names of the entry instances that a balancer would use.
        notes: What the timetable did, with its outcome.
    """

    def __init__(
        self,
        scenario: scenario_lib.Scenario,
        folder: pathlib.Path,
        session: aiohttp.ClientSession,
    ) -> None:
        """Plans the processes; nothing runs yet."""
        self.scenario = scenario
        self.session = session
        site = scenario.site
        document = samples.sample_document(
            workspaces=list(site.workspaces),
            model_service=site.model_service,
            plain_service=site.plain_service,
            goal=site.goal,
            policy=scenario.policy,
            keeping=scenario.keeping,
            versions=tuple(scenario.versions),
        )
        document["models"]["lm"]["loads_at_once"] = site.loads_at_once
        document["models"]["lm"]["min_ready"] = site.runners // 2
        self.fleet = fleet_lib.Fleet(folder, document)
        self.fleet.plan_entries(
            site.zones, scenario.entries_per_zone, voters=scenario.voters
        )
        self.in_use = list(self.fleet.entries)
        self.notes: list[str] = []
        self._changes = 0

    def urls(self) -> list[str]:
        """Returns the base URLs of the instances in use."""
        return [self.fleet.entries[name].url for name in self.in_use]

    async def start(self) -> None:
        """Starts all processes and waits until they know each other."""
        scenario = self.scenario
        site = scenario.site
        for name in self.fleet.entries:
            self.fleet.start_entry(name)
        weights = self.fleet.start_weights(
            at_once=site.loads_at_once, load_s=site.load_s
        )
        for number in range(site.runners):
            self.fleet.start_target(
                "runner",
                f"runner-{number + 1}",
                site.zones[number % len(site.zones)],
                service=site.model_service,
                version=scenario.versions[0],
                cache_blocks=scenario.cache_blocks,
                load_lag=scenario.load_lag_s,
                event_lag=scenario.event_lag_s,
                weights=weights.url,
                seed=scenario.seed + number,
            )
        for number in range(site.stores):
            self.fleet.start_target(
                "store",
                f"store-{number + 1}",
                site.zones[number % len(site.zones)],
                capacity=scenario.store_bytes,
                link_rate=scenario.link_rate,
            )
        for number in range(site.plain):
            self.fleet.start_target(
                "service",
                f"plain-{number + 1}",
                site.zones[number % len(site.zones)],
                service=site.plain_service,
            )
        await self.fleet.wait_ready(self.session)
        count = site.runners + site.stores + site.plain
        await self.fleet.wait_targets(self.session, count)
        if scenario.drop_events:
            for number in range(site.runners):
                await self._fault(
                    f"runner-{number + 1}",
                    {"drop_events": scenario.drop_events},
                )

    async def run_timetable(self, started: float) -> None:
        """Carries out the timetable's steps at their times."""
        for step in sorted(self.scenario.faults, key=lambda s: s.at_s):
            await asyncio.sleep(
                max(0.0, started + step.at_s - time.monotonic())
            )
            outcome = await self._carry_out(step)
            at_s = time.monotonic() - started
            self.notes.append(
                f"{at_s:.2f} s: {step.action} {step.target} {outcome}".strip()
            )

    async def _carry_out(self, step: scenario_lib.FaultStep) -> str:
        name = step.target
        fleet = self.fleet
        match step.action:
            case "kill":
                self._leave_balancer(name)
                fleet.kill(name)
            case "start":
                await self._start(name)
            case "pause":
                fleet.pause(name)
            case "continue":
                fleet.go_on(name)
            case "stop":
                self._leave_balancer(name)
                fleet.process(name).terminate()
                code = await asyncio.to_thread(fleet.process(name).wait)
                return f"exit code {code}"
            case "cut-zone":
                fleet.cut_zone(name)
            case "cut":
                fleet.cut(name, step.value.split())
            case "heal":
                fleet.heal()
            case "fault":
                await self._fault(name, msgspec.json.decode(step.value))
            case "hang" | "leave":
                url = fleet.targets[name].url
                async with self.session.post(f"{url}/admin/{step.action}"):
                    pass
            case "lose-disk":
                shutil.rmtree(fleet.entries[name].data)
            case "change":
                return await self._change(int(step.value or "1"))
            case "swap":
                return await self._swap(step.value)
            case "race":
                return await self._race()
            case "poison":
                for number in range(self.scenario.site.runners):
                    await self._fault(
                        f"runner-{number + 1}", {"crash_on": step.value}
                    )
        return ""

    def _leave_balancer(self, name: str) -> None:
        if name in self.in_use:
            self.in_use.remove(name)

    async def _start(self, name: str) -> None:
        if name in self.fleet.entries:
            self.fleet.start_entry(name)
            await self.fleet.wait_ready(self.session, [name])
            self.in_use.append(name)
        else:
            self.fleet.restart_target(name)

    async def _fault(self, name: str, faults: dict) -> None:
        url = self.fleet.targets[name].url
        async with self.session.post(
            f"{url}/admin/faults", data=msgspec.json.encode(faults)
        ):
            pass

    # Operators.

    async def post_change(
        self, url: str, change: dict
    ) -> tuple[int, dict | None]:
        """Posts a change; the status is 0 when the connection failed."""
        try:
            return await fleet_lib.operator_post(
                self.session, url, "/operator/changes", change
            )
        except (aiohttp.ClientError, TimeoutError):
            return 0, None

    def _limits_change(self, base: int, number: int) -> dict:
        limits = {
            "max_queue": 2_000 + number,
            "keeping": self.scenario.keeping,
        }
        return {
            "change_id": f"bench-{number}",
            "base_version": base,
            "operations": [{"path": "limits", "value": limits}],
        }

    async def version(self, url: str) -> int:
        """Returns the version in force at an instance, or -1."""
        shown = await fleet_lib.operator_get(
            self.session, url, "/operator/document"
        )
        return shown["version"] if shown else -1

    async def _change(self, count: int) -> str:
        accepted = 0
        url = self.urls()[0]
        for _ in range(count):
            self._changes += 1
            base = await self.version(url)
            status, _ = await self.post_change(
                url, self._limits_change(base, self._changes)
            )
            accepted += status == 200
        return f"{accepted} of {count} accepted"

    async def _race(self) -> str:
        """Lets several operators change the same part at equal versions."""
        urls = self.urls()
        base = await self.version(urls[0])
        changes = []
        for _ in range(RACERS):
            self._changes += 1
            changes.append(self._limits_change(base, self._changes))
        replies = await asyncio.gather(
            *(
                self.post_change(urls[number % len(urls)], change)
                for number, change in enumerate(changes)
            )
        )
        statuses = sorted(status for status, _ in replies)
        if statuses.count(200) > 1:
            raise AssertionError(f"several winners: {statuses}")
        return f"statuses {statuses}"

    async def _swap(self, version: str) -> str:
        url = self.urls()[0]
        shown = await fleet_lib.operator_get(
            self.session, url, "/operator/document"
        )
        model = {**shown["document"]["models"]["lm"], "current": version}
        self._changes += 1
        status, _ = await self.post_change(
            url,
            {
                "change_id": f"bench-swap-{self._changes}",
                "base_version": shown["version"],
                "operations": [{"path": "models/lm", "value": model}],
            },
        )
        return f"status {status}"

    # Readings.

    async def read_states(self) -> dict[str, dict]:
        """Returns what the living stand-ins say of themselves."""
        states = {}
        for name, target in self.fleet.targets.items():
            try:
                async with self.session.get(
                    f"{target.url}/admin/state"
                ) as response:
                    if response.status == 200:
                        states[name] = msgspec.json.decode(
                            await response.read()
                        )
            except (aiohttp.ClientError, TimeoutError):
                continue
        return states

    async def read_executions(self) -> list[str]:
        """Returns the bodies of all calls that plain targets ran."""
        bodies: list[str] = []
        for number in range(self.scenario.site.plain):
            url = self.fleet.targets[f"plain-{number + 1}"].url
            try:
                async with self.session.get(
                    f"{url}/admin/executions"
                ) as response:
                    bodies += msgspec.json.decode(await response.read())
            except (aiohttp.ClientError, TimeoutError):
                continue
        return bodies
