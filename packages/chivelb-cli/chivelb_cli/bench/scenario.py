"""Scenario files: a site, a workload and a schedule of faults.

A site is one whole deployment with all of its availability zones.
"""

import configparser
import pathlib
from typing import Literal

from chivelb_core.document import validation
import msgspec

from chivelb_cli.bench import workloads

LIST_KEYS = ("versions", "poison_times")


class FaultStep(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One step of the fault schedule.

    Actions on the process of the instance or simulated target ``target``:

    - ``kill``: end it with SIGKILL, as in a crash.
    - ``stop``: end it with SIGTERM and wait until it has exited.
    - ``start``: start it again, with the same arguments.
    - ``pause``, ``continue``: suspend and resume it.

    The client sends no more calls to an instance that was killed or stopped,
    until it is started.

    Actions on instances:

    - ``cut-zone``: partition the zone ``target`` from all other zones.
    - ``cut``: partition the instance ``target`` from the peers and zones in
      ``value``, separated by spaces; this replaces its earlier partition.
    - ``heal``: remove all network partitions.
    - ``lose-disk``: delete the data directory of the instance ``target``.

    Actions on the simulated target ``target``:

    - ``fault``: set the faults in ``value``, a JSON object with fields of
      ``lab.faults.Faults``.
    - ``hang``: make the streams of a runner that are open now stay silent.
    - ``leave``: make it reject further requests, as before a planned stop.

    Actions on the configuration and the prompts:

    - ``change``: submit ``value`` changes in sequence, by default one.
    - ``race``: submit ``CONCURRENT_CHANGES`` conflicting changes concurrently;
      the run fails if more than one is accepted.
    - ``swap``: make ``value`` the current weight version of the model.
    - ``poison``: make all runners exit at a prompt that contains ``value``.

    Attributes:
        at_s: Time of the step, in seconds after the start of the run.
        action: Fault or operator action to apply, as above.
        target: Name of the affected instance, simulated target or zone.
        value: Argument of the action, or empty.
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
        keeping: Retention policy of the KV cache stores: ``value``,
            ``recency`` (LRU) or ``none``.
        entries_per_zone: Number of instances in each availability zone.
        voters: Number of instances that vote in the Raft group of the
            configuration document and store idempotency claims.
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
