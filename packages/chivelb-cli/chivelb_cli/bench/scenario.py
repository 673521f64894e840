"""Scenario files: a site, a workload and a schedule of faults."""

import configparser
import pathlib
from typing import Literal

from chivelb_core.document import validation
import msgspec

from chivelb_cli.bench import workloads

LIST_KEYS = ("versions", "poison_times")


class FaultStep(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One step of the fault schedule.

    Attributes:
        at_s: Time of the step, in seconds after the start of the run.
        action: Fault or operator action to apply.
        target: Name of the affected instance, simulated target or zone.
        value: Argument of the action, such as the fault settings of a
            simulated target as JSON.
    """

    at_s: float
    action: Literal[
        "kill",
        "start",
        "pause",
        "continue",
        "stop",
        "cut-zone",
        "cut",
        "heal",
        "fault",
        "hang",
        "leave",
        "lose-disk",
        "change",
        "swap",
        "race",
        "poison",
    ]
    target: str = ""
    value: str = ""


class Scenario(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Configuration of one run.

    Attributes:
        name: Name of the run.
        workload: ``caroni`` or ``medicion``.
        duration_s: Length of the workload in seconds.
        warm_s: Length of the warm-up in seconds; latencies and token shares
            exclude it.
        load: Factor on the call rate of the workload.
        seed: Seed of the workload and of the simulated targets.
        policy: Routing policy.
        keeping: Retention policy of the KV cache stores.
        entries_per_zone: Number of instances in each availability zone.
        voters: Number of instances that vote in the control group and store
            idempotency claims.
        link_rate: Bandwidth of a store's link in bytes per second.
        cache_blocks: Capacity of a runner's prefix cache in blocks.
        store_bytes: Capacity of each store in bytes.
        load_lag_s: Delay of the runners' load reports in seconds.
        event_lag_s: Delay of cache events in seconds.
        drop_events: Share of cache events that are lost, from 0 to 1.
        versions: Weight versions of the model.
        poison: Prompt that is sent at ``poison_times``.
        poison_times: Times of these calls, in seconds after the start.
        faults: The fault schedule.
    """

    name: str = "run"
    workload: Literal["caroni", "medicion"] = "caroni"
    duration_s: float = 30.0
    warm_s: float = 8.0
    load: float = 1.0
    seed: int = 1
    policy: str = "expected_cost"
    keeping: str = "value"
    entries_per_zone: int = 3
    voters: int = 3
    link_rate: float = 60e6
    cache_blocks: int = 160
    store_bytes: int = 150_000_000
    load_lag_s: float = 0.2
    event_lag_s: float = 0.1
    drop_events: float = 0.02
    versions: list[str] = msgspec.field(default_factory=lambda: ["v1"])
    poison: str = ""
    poison_times: list[float] = []
    faults: list[FaultStep] = []

    @property
    def site(self) -> workloads.SiteConfig:
        """Site whose processes and traffic the workload simulates."""
        return workloads.SITE_CONFIGS[self.workload]


class ScenarioError(Exception):
    """Raised for a scenario file that can't be read or is invalid."""


def read_scenario(path: pathlib.Path) -> Scenario:
    """Reads a scenario from JSON or INI.

    Raises:
        ScenarioError: The file can't be read or is invalid; the message
            names the file, the key and the valid choices.
    """
    try:
        text = path.read_text(encoding="utf-8")
        if path.suffix == ".json":
            return msgspec.json.decode(text, type=Scenario)
        return _from_ini(path, text)
    except (OSError, msgspec.MsgspecError, configparser.Error) as error:
        raise ScenarioError(f"{path}: {error}") from None


def _from_ini(path: pathlib.Path, text: str) -> Scenario:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    values: dict = {"name": path.stem}
    fields = {f.name for f in msgspec.structs.fields(Scenario)}
    for key, value in parser["run"].items():
        if key not in fields:
            raise ScenarioError(
                f"{path}: [run] {key}: "
                f"{validation.describe_choices(key, list(fields))}"
            )
        values[key] = value.split() if key in LIST_KEYS else value
    fault_steps = []
    for section in parser.sections():
        if section != "run":
            fault_steps.append(dict(parser[section]))
    values["faults"] = fault_steps
    return msgspec.convert(values, Scenario, strict=False)
