"""Local processes of a scenario and the execution of its fault schedule."""

import asyncio
import pathlib
import shutil
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples
from chivelb_cli.bench import scenario as scenario_lib

CONCURRENT_CHANGES = 4


class ScenarioCluster:
    """Local processes of one scenario: a fleet, which is a whole site.

    Attributes:
        scenario: Scenario that defines the processes and the faults.
        fleet: Instances and simulated targets, as local processes.
        session: HTTP session for admin and operator requests.
        active_instances: Names of the instances that an upstream load
            balancer would route to.
        step_log: Executed steps of the fault schedule with time and outcome.
    """

    def __init__(
        self,
        scenario: scenario_lib.Scenario,
        folder: pathlib.Path,
        session: aiohttp.ClientSession,
    ) -> None:
        """Writes the configuration files; starts no process.

        Args:
            scenario: Scenario to run.
            folder: Directory of data and log files.
            session: HTTP session for admin and operator requests.
        """
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
        self.fleet.configure_instances(
            site.zones, scenario.entries_per_zone, voters=scenario.voters
        )
        self.active_instances = list(self.fleet.instances)
        self.step_log: list[str] = []
        self._change_count = 0

    def urls(self) -> list[str]:
        """Returns the base URLs of the active instances."""
        return [
            self.fleet.instances[name].url for name in self.active_instances
        ]

    async def start(self) -> None:
        """Starts all processes and waits until every target is discovered."""
        scenario = self.scenario
        site = scenario.site
        for name in self.fleet.instances:
            self.fleet.start_instance(name)
        weights = self.fleet.start_weight_store(
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
        for number in range(site.plain_targets):
            self.fleet.start_target(
                "service",
                f"plain-{number + 1}",
                site.zones[number % len(site.zones)],
                service=site.plain_service,
            )
        await self.fleet.wait_ready(self.session)
        count = site.runners + site.stores + site.plain_targets
        await self.fleet.wait_targets(self.session, count)
        if scenario.drop_events:
            for number in range(site.runners):
                await self._set_faults(
                    f"runner-{number + 1}",
                    {"drop_events": scenario.drop_events},
                )

    async def run_fault_schedule(self, start_time: float) -> None:
        """Executes the fault schedule.

        Args:
            start_time: Monotonic time in seconds at the start of the run.
        """
        for step in sorted(self.scenario.faults, key=lambda s: s.at_s):
            await asyncio.sleep(
                max(0.0, start_time + step.at_s - time.monotonic())
            )
            outcome = await self._execute_step(step)
            at_s = time.monotonic() - start_time
            self.step_log.append(
                f"{at_s:.2f} s: {step.action} {step.target} {outcome}".strip()
            )

    async def _execute_step(self, step: scenario_lib.FaultStep) -> str:
        name = step.target
        fleet = self.fleet
        match step.action:
            case "kill":
                self._remove_from_balancer(name)
                fleet.kill(name)
            case "start":
                await self._start_process(name)
            case "pause":
                fleet.pause(name)
            case "continue":
                fleet.resume(name)
            case "stop":
                self._remove_from_balancer(name)
                fleet.process(name).terminate()
                code = await asyncio.to_thread(fleet.process(name).wait)
                return f"exit code {code}"
            case "cut-zone":
                fleet.partition_zone(name)
            case "cut":
                fleet.partition_instance(name, step.value.split())
            case "heal":
                fleet.heal_partitions()
            case "fault":
                await self._set_faults(name, msgspec.json.decode(step.value))
            case "hang" | "leave":
                url = fleet.targets[name].url
                async with self.session.post(f"{url}/admin/{step.action}"):
                    pass
            case "lose-disk":
                shutil.rmtree(fleet.instances[name].data_dir)
            case "change":
                return await self._submit_changes(int(step.value or "1"))
            case "swap":
                return await self._swap_weight_version(step.value)
            case "race":
                return await self._submit_concurrent_changes()
            case "poison":
                for number in range(self.scenario.site.runners):
                    await self._set_faults(
                        f"runner-{number + 1}", {"crash_on": step.value}
                    )
        return ""

    def _remove_from_balancer(self, name: str) -> None:
        if name in self.active_instances:
            self.active_instances.remove(name)

    async def _start_process(self, name: str) -> None:
        if name in self.fleet.instances:
            self.fleet.start_instance(name)
            await self.fleet.wait_ready(self.session, [name])
            self.active_instances.append(name)
        else:
            self.fleet.restart_target(name)

    async def _set_faults(self, name: str, faults: dict) -> None:
        url = self.fleet.targets[name].url
        async with self.session.post(
            f"{url}/admin/faults", data=msgspec.json.encode(faults)
        ):
            pass

    # Operator requests.

    async def post_change(
        self, url: str, change: dict
    ) -> tuple[int, dict | None]:
        """Submits a configuration change to an instance.

        Args:
            url: Base URL of the instance.
            change: Body of the request.

        Returns:
            HTTP status and decoded reply; status 0 if the connection failed.
        """
        try:
            return await fleet_lib.operator_post(
                self.session, url, "/operator/changes", change
            )
        except (aiohttp.ClientError, TimeoutError):
            return 0, None

    def _build_limits_change(self, base_version: int, number: int) -> dict:
        limits = {
            "max_queue": 2_000 + number,
            "keeping": self.scenario.keeping,
        }
        return {
            "change_id": f"bench-{number}",
            "base_version": base_version,
            "operations": [{"path": "limits", "value": limits}],
        }

    async def read_version(self, url: str) -> int:
        """Returns the document version in force on an instance, or -1."""
        reply = await fleet_lib.operator_get(
            self.session, url, "/operator/document"
        )
        return reply["version"] if reply else -1

    async def _submit_changes(self, count: int) -> str:
        accepted = 0
        url = self.urls()[0]
        for _ in range(count):
            self._change_count += 1
            base_version = await self.read_version(url)
            status, _ = await self.post_change(
                url, self._build_limits_change(base_version, self._change_count)
            )
            accepted += status == 200
        return f"{accepted} of {count} accepted"

    async def _submit_concurrent_changes(self) -> str:
        """Submits conflicting changes concurrently, all on one base version.

        Returns:
            The HTTP statuses.

        Raises:
            AssertionError: More than one change was accepted.
        """
        urls = self.urls()
        base_version = await self.read_version(urls[0])
        changes = []
        for _ in range(CONCURRENT_CHANGES):
            self._change_count += 1
            changes.append(
                self._build_limits_change(base_version, self._change_count)
            )
        replies = await asyncio.gather(
            *(
                self.post_change(urls[number % len(urls)], change)
                for number, change in enumerate(changes)
            )
        )
        statuses = sorted(status for status, _ in replies)
        if statuses.count(200) > 1:
            raise AssertionError(
                f"more than one concurrent change accepted: {statuses}"
            )
        return f"statuses {statuses}"

    async def _swap_weight_version(self, version: str) -> str:
        url = self.urls()[0]
        reply = await fleet_lib.operator_get(
            self.session, url, "/operator/document"
        )
        model = {**reply["document"]["models"]["lm"], "current": version}
        self._change_count += 1
        status, _ = await self.post_change(
            url,
            {
                "change_id": f"bench-swap-{self._change_count}",
                "base_version": reply["version"],
                "operations": [{"path": "models/lm", "value": model}],
            },
        )
        return f"status {status}"

    # State of the simulated targets.

    async def read_target_states(self) -> dict[str, dict]:
        """Returns the states of the fleet's reachable targets by name.

        ``fleet.targets`` includes the weight store if it was started.
        """
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
        """Returns the request bodies that reachable plain targets executed."""
        bodies: list[str] = []
        for number in range(self.scenario.site.plain_targets):
            url = self.fleet.targets[f"plain-{number + 1}"].url
            try:
                async with self.session.get(
                    f"{url}/admin/executions"
                ) as response:
                    bodies += msgspec.json.decode(await response.read())
            except (aiohttp.ClientError, TimeoutError):
                continue
        return bodies
