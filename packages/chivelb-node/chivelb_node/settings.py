"""Settings of an instance: an INI file, each section a checked class."""

import configparser
import difflib
import pathlib
import types
import typing

from chivelb_core.document import checks
import expression
import msgspec


class Instance(msgspec.Struct, kw_only=True):
    """Who this instance is.

    Attributes:
        name: Unique name among the instances.
        zone: Availability zone.
        region: Region; its instances know each other.
        data_dir: Folder for durable state; empty without a disk.
        log_level: Lowest level of logs that is written.
    """

    name: str
    zone: str
    region: str = "local"
    data_dir: str = ""
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"


class Http(msgspec.Struct, kw_only=True):
    """Where callers, targets and operators reach this instance.

    Attributes:
        listen: ``host:port``.
        drain_grace_s: Seconds that new requests are still taken after a
            stop was asked for, so that the balancer can notice.
        body_timeout_s: Longest time that a request body may take.
        max_headers: Most header lines of a request.
    """

    listen: str = "127.0.0.1:8080"
    drain_grace_s: float = 1.0
    body_timeout_s: float = 10.0
    max_headers: int = 64


class Peers(msgspec.Struct, kw_only=True):
    """How instances reach each other.

    Attributes:
        listen: ``host:port`` for TCP and UDP; empty for a single instance.
        seeds: ``name@zone@host:port`` of instances to join by.
        keys_file: File of ``id = hex`` lines; read again when it changes.
        authenticated: Whether links need a key; without it anyone who can
            reach this instance may act as a peer.
    """

    listen: str = ""
    seeds: list[str] = []
    keys_file: str = ""
    authenticated: bool = True


class Control(msgspec.Struct, kw_only=True):
    """The control group.

    Attributes:
        voters: Names of the instances that vote on changes at first start.
        keepers: Names of the instances that keep claims.
        member_id: Id of this voter; a new one after a lost disk.
        start: What a voter with an empty disk does: ``ask`` the others,
            ``found`` the group with them, or ``join`` the group they have.
        election_timeout_s: Silence after which an election may start.
        heartbeat_s: Period of the leader's heartbeats.
        claim_ttl_s: Seconds that a settled claim is kept.
    """

    voters: list[str] = []
    keepers: list[str] = []
    member_id: str = ""
    start: typing.Literal["ask", "found", "join"] = "ask"
    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.15
    claim_ttl_s: float = 86_400.0


class Forwarding(msgspec.Struct, kw_only=True):
    """How requests are passed on to targets.

    Attributes:
        retry_ratio: Further attempts for each request to a service.
        retry_slack: Further attempts that all instances together may always
            make in a window.
        retry_window_s: Length of the window.
        drain_s: Time in which no new work goes to a target that leaves.
        order_gap_s: Time without orders between two controllers.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    drain_s: float = 2.0
    order_gap_s: float = 3.0


class DocumentFile(msgspec.Struct, kw_only=True):
    """Where the first document comes from.

    Attributes:
        file: JSON document that is taken when no state exists yet.
    """

    file: str = ""


class Operators(msgspec.Struct, kw_only=True):
    """Who may drive the system.

    Attributes:
        key_hash: SHA-256 hex digest of the operator key; empty closes the
            operators' interface.
        target_key_hash: SHA-256 hex digest of the key that targets announce
            with; empty lets any target announce itself.
    """

    key_hash: str = ""
    target_key_hash: str = ""


class Faults(msgspec.Struct, kw_only=True):
    """Hooks for tests; leave empty in use.

    Attributes:
        cut_file: File with the names of peers or zones whose links are
            refused.
    """

    cut_file: str = ""


class Settings(msgspec.Struct, kw_only=True):
    """All sections."""

    instance: Instance
    http: Http = msgspec.field(default_factory=Http)
    peers: Peers = msgspec.field(default_factory=Peers)
    control: Control = msgspec.field(default_factory=Control)
    forwarding: Forwarding = msgspec.field(default_factory=Forwarding)
    document: DocumentFile = msgspec.field(default_factory=DocumentFile)
    operators: Operators = msgspec.field(default_factory=Operators)
    faults: Faults = msgspec.field(default_factory=Faults)


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "instance": Instance,
    "http": Http,
    "peers": Peers,
    "control": Control,
    "forwarding": Forwarding,
    "document": DocumentFile,
    "operators": Operators,
    "faults": Faults,
}


def parse_settings(
    text: str, source: str = "settings"
) -> expression.Result[Settings, list[str]]:
    """Parses and checks settings.

    Args:
        text: The INI text.
        source: Name of the file, for messages.

    Returns:
        Ok with the settings, or Error with a message for each fault that
        names file, section, key and the valid choices.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return expression.Error([f"{source}: {error.message}"])
    faults: list[str] = []
    sections = {}
    for name in parser.sections():
        if name not in SECTIONS:
            hint = checks.suggest(name, list(SECTIONS))
            faults.append(f"{source}: [{name}]: section {hint}")
            continue
        sections[name] = _read_section(parser[name], source, faults)
    if "instance" not in parser:
        faults.append(f"{source}: [instance]: section is missing")
    if faults:
        return expression.Error(faults)
    settings = Settings(**sections)
    faults = [f"{source}: {fault}" for fault in _pair_faults(settings)]
    if faults:
        return expression.Error(faults)
    return expression.Ok(settings)


def read_settings(
    path: str | pathlib.Path,
) -> expression.Result[Settings, list[str]]:
    """Reads and checks a settings file; see ``parse_settings``."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error([f"{path}: can't be read: {error}"])
    return parse_settings(text, str(path))


def _read_section(
    section: configparser.SectionProxy, source: str, faults: list[str]
) -> typing.Any:
    section_type = SECTIONS[section.name]
    fields = {f.name: f for f in msgspec.structs.fields(section_type)}
    values = {}
    for key, raw in section.items():
        where = f"{source}: [{section.name}] {key}"
        if key not in fields:
            faults.append(f"{where}: key {checks.suggest(key, list(fields))}")
            continue
        try:
            values[key] = _convert(raw, fields[key].type)
        except (msgspec.ValidationError, ValueError) as error:
            faults.append(f"{where}: {raw!r}: {error}")
    for name, field in fields.items():
        if field.required and name not in section:
            faults.append(f"{source}: [{section.name}] {name}: is missing")
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
        ValueError: The address is not of that form.

    Example:
        >>> split_address("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


class Seed(msgspec.Struct, frozen=True):
    """An instance to join by.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        address: ``host:port`` of its peer links.
    """

    name: str
    zone: str
    address: str


def parse_seed(text: str) -> Seed:
    """Parses ``name@zone@host:port``.

    Raises:
        ValueError: The text is not of that form.
    """
    parts = text.split("@")
    if len(parts) != 3 or not all(parts):
        raise ValueError(f"{text!r} is not name@zone@host:port")
    split_address(parts[2])
    return Seed(*parts)


def _pair_faults(settings: Settings) -> list[str]:
    faults = []
    for where, address in (
        ("[http] listen", settings.http.listen),
        ("[peers] listen", settings.peers.listen or "h:1"),
    ):
        try:
            split_address(address)
        except ValueError as error:
            faults.append(f"{where}: {error}")
    names = {settings.instance.name}
    for text in settings.peers.seeds:
        try:
            names.add(parse_seed(text).name)
        except ValueError as error:
            faults.append(f"[peers] seeds: {error}")
    if settings.peers.seeds and not settings.peers.listen:
        faults.append("[peers] seeds: need [peers] listen")
    peers = settings.peers
    if peers.listen and peers.authenticated and not peers.keys_file:
        faults.append("[peers] listen: needs [peers] keys_file")
    for key in ("voters", "keepers"):
        members = getattr(settings.control, key)
        for name in members:
            if name not in names:
                near = difflib.get_close_matches(name, names, n=1)
                hint = f"; did you mean {near[0]!r}?" if near else ""
                faults.append(
                    f"[control] {key}: {name!r} is neither this instance "
                    f"nor a seed{hint}"
                )
        if settings.instance.name in members:
            if not settings.instance.data_dir:
                faults.append(
                    f"[control] {key}: names this instance, which needs "
                    "[instance] data_dir"
                )
    control = settings.control
    if control.heartbeat_s * 3 > control.election_timeout_s:
        faults.append(
            "[control] heartbeat_s: must be at most a third of "
            "election_timeout_s"
        )
    return faults


def render_example() -> str:
    """Returns a settings file with every key and its default."""
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
