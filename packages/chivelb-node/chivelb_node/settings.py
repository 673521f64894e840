"""Settings of an instance, read from an INI file and validated.

Each section of the file is a struct in this module.
"""

import configparser
import difflib
import pathlib
import types
import typing

from chivelb_core import decimals
from chivelb_core.document import validation
import expression
import msgspec

# Two bodies of 4 MiB, each held twice.
MIN_BUFFER_BYTES = 16_777_216


class Instance(msgspec.Struct, kw_only=True):
    """Identity of this instance.

    Attributes:
        name: Unique name among the instances.
        zone: Availability zone.
        region: Region; instances of one region discover each other.
        data_dir: Directory for durable state; empty for a diskless instance.
        log_level: Lowest log level that is written.
        zones: All availability zones with their regions, each as
            ``zone=region``; if empty, names of zones and regions are not
            checked.
    """

    name: str
    zone: str
    region: str = "local"
    data_dir: str = ""
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    zones: list[str] = []


class Http(msgspec.Struct, kw_only=True):
    """HTTP server for callers, targets and operators.

    Attributes:
        listen: ``host:port``.
        drain_grace_s: Seconds for which new requests are still accepted
            after a shutdown was requested, so that the load balancer can
            notice that the instance is not ready; at most half of
            ``stop_grace_s``.
        stop_grace_s: Seconds from the request to shut down until the
            supervisor kills the process. Requests still in progress shortly
            before are answered with an unknown outcome.
        body_timeout_s: Maximum time to receive a request body, in seconds.
        max_headers: Maximum number of header lines in a request.
        max_connections: Maximum number of connections of callers, targets and
            operators; 0 for half of the descriptors that the process may open.
        buffer_bytes: Bytes of heads, bodies and responses that the process
            buffers for others before it refuses new requests.
        stalled_body_s: Time in which a body must make progress while others
            need its share of ``buffer_bytes``, in seconds.
        unread_response_s: Time after which a connection closes whose client
            reads nothing of a response, in seconds.
    """

    listen: str = "127.0.0.1:8080"
    drain_grace_s: float = 1.0
    stop_grace_s: float = 30.0
    body_timeout_s: float = 10.0
    max_headers: int = 64
    max_connections: int = 0
    buffer_bytes: int = 67_108_864
    stalled_body_s: float = 1.0
    unread_response_s: float = 60.0


class Peers(msgspec.Struct, kw_only=True):
    """Links between instances.

    Attributes:
        listen: ``host:port`` for TCP and UDP; empty for a single instance.
        seeds: ``name@zone@host:port`` of instances to contact when joining.
        keys_file: File of ``id = hex`` lines; reloaded when it changes.
        authenticated: Whether links require a key; if false, anyone who can
            reach this instance can act as a peer.
    """

    listen: str = ""
    seeds: list[str] = []
    keys_file: str = ""
    authenticated: bool = True


class Control(msgspec.Struct, kw_only=True):
    """The control group and the claim keepers.

    The control group is the Raft group of the instances that hold the durable
    state, such as the configuration document.

    Attributes:
        voters: Names of the initial voters.
        keepers: Names of the instances that store idempotency claims.
        member_id: Accepted but not used. A voter chooses its member id itself,
            also after its disk was lost (see ``VoterService``).
        start: What a voter with an empty disk does: ``ask`` the other voters,
            ``found`` a new group with them, or ``join`` their existing group.
        election_timeout_s: Seconds without a heartbeat after which an
            election may start.
        heartbeat_s: Interval between the leader's heartbeats, in seconds.
        claim_ttl_s: Seconds for which a settled claim is stored.
        fault_tolerance: Number of voters whose disks may be lost at the same
            time. The leader removes no voter that it can't reach if the
            others would not bear that loss.
    """

    voters: list[str] = []
    keepers: list[str] = []
    member_id: str = ""
    start: typing.Literal["ask", "found", "join"] = "ask"
    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.15
    claim_ttl_s: float = 86_400.0
    fault_tolerance: int = 1


class Forwarding(msgspec.Struct, kw_only=True):
    """Forwarding of requests to targets.

    The ``retry_*`` keys set the retry budget that all instances share for each
    service, for requests matched by a route. They don't affect
    ``InstanceContext.retry_budget``.

    Attributes:
        retry_ratio: Retries allowed per request to a service.
        retry_slack: Retries that all instances together may make in a window
            regardless of ``retry_ratio``.
        retry_window_s: Length of the retry window, in seconds.
        drain_s: Accepted but not used. A leaving target gets no new requests,
            without a time limit.
        order_gap_s: Seconds between the last order of one controller and the
            first order of the next. A controller sends orders to load weights
            to runners.
        weights_apply_s: Seconds after a numbered weight version was requested
            by which requests no longer begin on older ones.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    drain_s: float = 2.0
    order_gap_s: float = 3.0
    weights_apply_s: float = 10.0


class Decisions(msgspec.Struct, kw_only=True):
    """Mechanisms that decide on forwarded calls, to compare with and without.

    Attributes:
        placement: Which of the sampled runners gets a call: the one of the
            lowest expected ``cost``, the ``least_loaded`` or a ``random`` one.
        prefix_affinity: Whether the holders of a shared part of the prompt are
            compared besides the sampled runners.
        cache_fetches: Whether cached parts are fetched and saved; otherwise a
            runner uses only what it holds itself.
        runner_subsets: Whether an instance prefers a subset of the runners.
        peer_loads: Whether the load that peers report is counted.
        startup_wait: Whether calls wait for the first document and targets.
        reachability_checks: Whether an unreachable target gets no calls until
            a connection to it opens.
        shedding: Whether calls are rejected that are expected to time out
            before their turn.
        fair_order: Whether workspaces get shares of the capacity while calls
            wait, small calls may overtake large ones that have to wait, and no
            priority starves; otherwise waiting calls start by priority and
            arrival.
        headroom: Whether less urgent calls leave room at runners to the more
            urgent ones that are expected.
        work_estimates: Whether the cost of requests and the speed of targets
            are learned; otherwise fixed figures are assumed.
    """

    placement: typing.Literal["cost", "least_loaded", "random"] = "cost"
    prefix_affinity: bool = True
    cache_fetches: bool = True
    runner_subsets: bool = True
    peer_loads: bool = True
    startup_wait: bool = True
    reachability_checks: bool = True
    shedding: bool = True
    fair_order: bool = True
    headroom: bool = True
    work_estimates: bool = False


class DocumentFile(msgspec.Struct, kw_only=True):
    """Source of the first configuration document.

    Attributes:
        file: Path of a JSON document that is loaded when no state exists yet.
    """

    file: str = ""


class Operators(msgspec.Struct, kw_only=True):
    """Keys of operators and targets.

    Attributes:
        key_hash: SHA-256 hex digest of the operator key; if empty, the
            operator API is disabled.
        target_key_hash: SHA-256 hex digest of the key that targets send with
            announcements; if empty, any target may announce itself.
    """

    key_hash: str = ""
    target_key_hash: str = ""


class Faults(msgspec.Struct, kw_only=True):
    """Fault injection for tests; leave empty in production.

    Attributes:
        cut_file: File with the names of peers or zones whose links are
            rejected, to simulate a network partition.
    """

    cut_file: str = ""


class Settings(msgspec.Struct, kw_only=True):
    """All sections of the settings file."""

    instance: Instance
    http: Http = msgspec.field(default_factory=Http)
    peers: Peers = msgspec.field(default_factory=Peers)
    control: Control = msgspec.field(default_factory=Control)
    forwarding: Forwarding = msgspec.field(default_factory=Forwarding)
    decisions: Decisions = msgspec.field(default_factory=Decisions)
    document: DocumentFile = msgspec.field(default_factory=DocumentFile)
    operators: Operators = msgspec.field(default_factory=Operators)
    faults: Faults = msgspec.field(default_factory=Faults)


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "instance": Instance,
    "http": Http,
    "peers": Peers,
    "control": Control,
    "forwarding": Forwarding,
    "decisions": Decisions,
    "document": DocumentFile,
    "operators": Operators,
    "faults": Faults,
}


def parse_settings(
    text: str, source: str = "settings"
) -> expression.Result[Settings, list[str]]:
    """Parses and validates settings.

    Args:
        text: The INI text.
        source: File name to show in error messages.

    Returns:
        Ok with the settings, or Error with one message per problem that
        names the file, section, key and valid choices.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return expression.Error([f"{source}: {error.message}"])
    errors: list[str] = []
    sections = {}
    for name in parser.sections():
        if name not in SECTIONS:
            hint = validation.describe_choices(name, list(SECTIONS))
            errors.append(f"{source}: [{name}]: section {hint}")
            continue
        sections[name] = _read_section(parser[name], source, errors)
    if "instance" not in parser:
        errors.append(f"{source}: [instance]: section is missing")
    if errors:
        return expression.Error(errors)
    settings = Settings(**sections)
    errors = [f"{source}: {error}" for error in _find_conflicts(settings)]
    if errors:
        return expression.Error(errors)
    return expression.Ok(settings)


def read_settings(
    path: str | pathlib.Path,
) -> expression.Result[Settings, list[str]]:
    """Reads and validates a settings file; see ``parse_settings``."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error([f"{path}: cannot read file: {error}"])
    return parse_settings(text, str(path))


def parse_decisions(
    assignments: list[str],
) -> expression.Result[Decisions, list[str]]:
    """Parses keys of the section ``decisions``, each as ``key=value``."""
    parser = configparser.ConfigParser(interpolation=None)
    text = "\n".join(["[decisions]", *assignments])
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return expression.Error([error.message])
    errors: list[str] = []
    decisions = _read_section(parser["decisions"], "command line", errors)
    return expression.Error(errors) if errors else expression.Ok(decisions)


def _read_section(
    section: configparser.SectionProxy, source: str, errors: list[str]
) -> typing.Any:
    section_type = SECTIONS[section.name]
    fields = {f.name: f for f in msgspec.structs.fields(section_type)}
    values = {}
    for key, raw in section.items():
        location = f"{source}: [{section.name}] {key}"
        if key not in fields:
            errors.append(
                f"{location}: key "
                f"{validation.describe_choices(key, list(fields))}"
            )
            continue
        try:
            values[key] = _convert(raw, fields[key].type)
        except (msgspec.ValidationError, ValueError) as error:
            errors.append(f"{location}: {raw!r}: {error}")
    for name, field in fields.items():
        if field.required and name not in section:
            errors.append(f"{source}: [{section.name}] {name}: is missing")
    try:
        return section_type(**values)
    except TypeError:
        return None


def _convert(raw: str, field_type: typing.Any) -> typing.Any:
    if isinstance(field_type, types.GenericAlias):
        return [part.strip() for part in raw.split(",") if part.strip()]
    return msgspec.convert(raw, field_type, strict=False)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``.

    Raises:
        ValueError: The address does not have that form.

    Example:
        >>> split_address("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    number = decimals.parse(port)
    if not host or number is None or number >= 65_536:
        raise ValueError(f"{address!r} is not of the form host:port")
    return host, number


class Seed(msgspec.Struct, frozen=True):
    """An instance to contact when joining the cluster.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        address: ``host:port`` of its peer listener.
    """

    name: str
    zone: str
    address: str


def parse_seed(text: str) -> Seed:
    """Parses ``name@zone@host:port``.

    Raises:
        ValueError: The text does not have that form.
    """
    parts = text.split("@")
    if len(parts) != 3 or not all(parts):
        raise ValueError(f"{text!r} is not of the form name@zone@host:port")
    split_address(parts[2])
    return Seed(*parts)


def parse_zones(assignments: list[str]) -> dict[str, str]:
    """Returns the region of each availability zone.

    Raises:
        ValueError: An assignment is not of the form ``zone=region``, or a zone
            is listed twice.

    Example:
        >>> parse_zones(["z1=north"])
        {'z1': 'north'}
    """
    regions = {}
    for text in assignments:
        zone, _, region = (part.strip() for part in text.rpartition("="))
        if not zone or not region:
            raise ValueError(f"{text!r} is not of the form zone=region")
        if zone in regions:
            raise ValueError(f"zone {zone!r} is listed twice")
        regions[zone] = region
    return regions


def _find_zone_conflicts(instance: Instance) -> list[str]:
    try:
        regions = parse_zones(instance.zones)
    except ValueError as error:
        return [f"[instance] zones: {error}"]
    if not regions or regions.get(instance.zone) == instance.region:
        return []
    return [
        f"[instance] zones: must have {instance.zone}={instance.region}, the "
        "zone and region of this instance"
    ]


def _find_conflicts(settings: Settings) -> list[str]:
    errors = _find_zone_conflicts(settings.instance)
    # An empty [peers] listen is valid; a placeholder address replaces it.
    for location, address in (
        ("[http] listen", settings.http.listen),
        ("[peers] listen", settings.peers.listen or "h:1"),
    ):
        try:
            split_address(address)
        except ValueError as error:
            errors.append(f"{location}: {error}")
    names = {settings.instance.name}
    for text in settings.peers.seeds:
        try:
            names.add(parse_seed(text).name)
        except ValueError as error:
            errors.append(f"[peers] seeds: {error}")
    if settings.peers.seeds and not settings.peers.listen:
        errors.append("[peers] seeds: requires [peers] listen")
    peers = settings.peers
    if peers.listen and peers.authenticated and not peers.keys_file:
        errors.append("[peers] listen: requires [peers] keys_file")
    for key in ("voters", "keepers"):
        members = getattr(settings.control, key)
        for name in members:
            if name not in names:
                matches = difflib.get_close_matches(name, names, n=1)
                hint = f"; did you mean {matches[0]!r}?" if matches else ""
                errors.append(
                    f"[control] {key}: {name!r} is neither this instance "
                    f"nor a seed{hint}"
                )
        if settings.instance.name in members:
            if not settings.instance.data_dir:
                errors.append(
                    f"[control] {key}: lists this instance, which requires "
                    "[instance] data_dir"
                )
    if not settings.forwarding.weights_apply_s > 0:
        errors.append("[forwarding] weights_apply_s: must be above 0")
    errors += _find_wrong_limits(settings.http)
    control = settings.control
    if control.heartbeat_s * 3 > control.election_timeout_s:
        errors.append(
            "[control] heartbeat_s: must be at most a third of "
            "election_timeout_s"
        )
    if control.fault_tolerance < 0:
        errors.append("[control] fault_tolerance: must be 0 or above")
    return errors


def _find_wrong_limits(http: Http) -> list[str]:
    errors = []
    if http.max_connections < 0:
        errors.append("[http] max_connections: must be 0 or above")
    if http.buffer_bytes < MIN_BUFFER_BYTES:
        errors.append(
            f"[http] buffer_bytes: must be at least {MIN_BUFFER_BYTES}"
        )
    for key in ("stalled_body_s", "unread_response_s"):
        if not getattr(http, key) > 0:
            errors.append(f"[http] {key}: must be above 0")
    return errors


def render_example() -> str:
    """Returns an example settings file with the default of every key."""
    lines = []
    for name, section_type in SECTIONS.items():
        lines += [f"[{name}]"]
        for field in msgspec.structs.fields(section_type):
            if field.required:
                lines.append(f"{field.name} = example")
                continue
            value = field.default
            if value is msgspec.NODEFAULT:
                value = field.default_factory()
            shown = "" if value == [] else value
            lines.append(f"{field.name} = {shown}".rstrip())
        lines.append("")
    return "\n".join(lines)
