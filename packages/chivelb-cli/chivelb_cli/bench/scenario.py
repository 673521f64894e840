"""Scenario files: a site, a workload, and faults on a timetable."""

import configparser
import pathlib
from typing import Literal

from chivelb_core.document import checks
import msgspec

from chivelb_cli.bench import workloads

LIST_KEYS = ("versions", "poison_times")


class FaultStep(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One entry of the timetable.

    Attributes:
        at_s: Seconds after the start.
        action: What happens.
        target: Instance, stand-in or zone that it happens to.
        value: Detail, such as the faults of a stand-in as JSON.
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
    """A run.

    Attributes:
        name: Its name.
        workload: ``caroni`` or ``medicion``.
        duration_s: Length in seconds.
        warm_s: Seconds before latencies count.
        load: Factor on the workload's rate.
        seed: Seed.
        policy: Routing policy.
        keeping: What stores keep.
        entries_per_zone: Entry instances in each zone.
        voters: Instances that vote and keep claims.
        link_rate: Bytes a second of a store's link.
        cache_blocks: Blocks in a runner's prefix cache.
        store_bytes: Capacity of each store.
        load_lag_s: Lag of the runners' load reports.
        event_lag_s: Lag of cache events.
        drop_events: Share of cache events that are lost.
        versions: Weight versions of the model.
        poison: Text of a prompt that is sent at ``poison_times``.
        poison_times: Seconds after the start.
        faults: The timetable.
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
    def site(self) -> workloads.Site:
        """The site of the workload."""
        return workloads.SITES[self.workload]


class ScenarioError(Exception):
    """A scenario file that can't be used."""


def read_scenario(path: pathlib.Path) -> Scenario:
    """Reads a scenario from JSON or INI.

    Raises:
        ScenarioError: It can't be read or has a fault; the message names
            file, key and the valid choices.
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
                f"{path}: [run] {key}: {checks.suggest(key, list(fields))}"
            )
        values[key] = value.split() if key in LIST_KEYS else value
    steps = []
    for section in parser.sections():
        if section != "run":
            steps.append(dict(parser[section]))
    values["faults"] = steps
    return msgspec.convert(values, Scenario, strict=False)
