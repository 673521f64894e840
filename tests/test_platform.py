"""Decoding of settings, documents, heartbeats and headers in the adapter."""

import json

import builders
from chivelb_core import codes
from chivelb_node import settings as settings_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import call_factory
from chivelb_platform import boot
from chivelb_platform import control_api
from chivelb_platform import headers
from chivelb_platform import wire_document
import multidict
import pytest

PLATFORM_SETTINGS = {
    "NodeName": "n1",
    "Ip": "10.1.0.1",
    "Zone": "z1",
    "Region": "r",
    "Listen": {"Front": "10.1.0.1:80", "ReadyAddr": "10.1.0.1:81"},
    "InternalPorts": [7700, 7715],
    "Seeds": ["10.1.0.2:90", "10.2.0.2:90"],
    "Somebody": {"elses": "field"},
}
DOCUMENT = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r",
            "Host": "h",
            "PathPrefix": "/a/",
            "Kind": "safe",
            "TimeoutMs": 1500,
            "Service": "s",
        }
    ],
    "Services": [{"Name": "s", "MaxConnections": 9}],
    "Tenants": [{"Name": "t", "ApiKeys": ["k1", "k2"]}],
}
HEARTBEAT = {
    "Service": "s",
    "Address": "10.1.0.9:5",
    "Zone": "z1",
    "Slots": 4,
    "State": "ready",
    "Sequence": 7,
    "Version": "v1.2",
    "born": 11,
    "Models": [{"Name": "m", "Version": 2}],
}


def without_key(record, name):
    return {key: value for key, value in record.items() if key != name}


def read_settings_file(tmp_path, content):
    path = tmp_path / "boot.json"
    path.write_bytes(content)
    return boot.read_platform_settings(str(path))


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path):
    result = read_settings_file(
        tmp_path, json.dumps(PLATFORM_SETTINGS).encode()
    )
    settings = boot.make_settings(result.ok)
    assert settings.instance.name == "10.1.0.1"
    assert settings.peers.listen == "10.1.0.1:7700"
    assert settings.peers.seeds[0] == "10.1.0.2@unknown@10.1.0.2:7700"
    assert settings.control.voters == ["10.1.0.2", "10.2.0.2"]
    assert settings.instance.zones == []


def test_the_zones_of_the_settings_have_regions(tmp_path):
    zones = {"z1": "r", "z2": "r", "y=1": "south"}
    content = json.dumps({**PLATFORM_SETTINGS, "Zones": zones}).encode()
    settings = boot.make_settings(read_settings_file(tmp_path, content).ok)
    assert settings_lib.parse_zones(settings.instance.zones) == zones


@pytest.mark.parametrize(
    ("content", "named"),
    [
        (json.dumps(without_key(PLATFORM_SETTINGS, "Zone")).encode(), "Zone"),
        (
            json.dumps({**PLATFORM_SETTINGS, "Seeds": "10.1.0.2:90"}).encode(),
            "Seeds",
        ),
        (
            json.dumps({**PLATFORM_SETTINGS, "InternalPorts": [1]}).encode(),
            "InternalPorts",
        ),
        (json.dumps({**PLATFORM_SETTINGS, "Zones": ["z"]}).encode(), "Zones"),
        (
            json.dumps({**PLATFORM_SETTINGS, "Zones": {"z": 1}}).encode(),
            "Zones",
        ),
        (json.dumps({**PLATFORM_SETTINGS, "Zones": {"z": ""}}).encode(), "z="),
        (
            json.dumps(
                {**PLATFORM_SETTINGS, "Limits": {"MemoryMb": -1}}
            ).encode(),
            "MemoryMb",
        ),
        (
            json.dumps(
                {**PLATFORM_SETTINGS, "FaultTolerance": {"Machines": -1}}
            ).encode(),
            "FaultTolerance",
        ),
        (b"{", "truncated"),
        (b"\xff\xfe\x00", "malformed"),
        (b"", "truncated"),
    ],
)
def test_settings_that_are_wrong_name_file_and_field(tmp_path, content, named):
    result = read_settings_file(tmp_path, content)
    assert result.is_error()
    assert named in result.error
    assert "boot.json" in result.error


@pytest.mark.parametrize(
    ("limits", "buffer_bytes", "max_connections"),
    [
        # Four bodies of 4 MiB, each held twice, even on a small machine.
        ({"MemoryMb": 128, "MaxFds": 4100}, 32_000_000, 1_953),
        ({"MemoryMb": 152, "MaxFds": 1535}, 38_000_000, 767),
        ({"MemoryMb": 20}, 16_777_216, 305),
        ({"MaxFds": 100}, 67_108_864, 50),
        ({"MemoryMb": None, "Other": 1}, 67_108_864, 0),
        (None, 67_108_864, 0),
    ],
)
def test_limits_for_clients_follow_from_those_of_the_machine(
    tmp_path, limits, buffer_bytes, max_connections
):
    content = {**PLATFORM_SETTINGS, "Limits": limits}
    result = read_settings_file(tmp_path, json.dumps(content).encode())
    http = boot.make_settings(result.ok).http
    assert http.buffer_bytes == buffer_bytes
    assert http.max_connections == max_connections


# Guards against a control group that shrinks below what the platform says may
# be lost at the same time (review/6).
@pytest.mark.parametrize(
    ("tolerance", "disks"),
    [
        ({"Machines": 2, "Zones": 1, "Regions": 0}, 2),
        ({"Machines": 0, "Zones": 1, "Other": 9}, 1),
        ({"Machines": 0}, 0),
        ({}, 1),
    ],
)
def test_the_disks_that_may_be_lost_follow_from_the_fault_tolerance(
    tmp_path, tolerance, disks
):
    content = {**PLATFORM_SETTINGS, "FaultTolerance": tolerance}
    result = read_settings_file(tmp_path, json.dumps(content).encode())
    assert boot.make_settings(result.ok).control.fault_tolerance == disks


def test_a_missing_settings_file_is_an_error(tmp_path):
    assert boot.read_platform_settings(str(tmp_path / "none")).is_error()


def test_a_document_is_decoded_with_all_keys_of_a_workspace():
    replacement = wire_document.decode_replacement(
        json.dumps(DOCUMENT).encode()
    )
    assert replacement.number == 3
    decoded = replacement.document
    assert decoded.routes["r"].timeout_s == 1.5
    assert len(decoded.workspaces["t"].key_hashes) == 2


def encode_document_with_route(**fields):
    route = {**DOCUMENT["Routes"][0], **fields}
    return json.dumps({**DOCUMENT, "Routes": [route]}).encode()


@pytest.mark.parametrize(
    ("data", "named"),
    [
        (json.dumps(without_key(DOCUMENT, "Version")).encode(), "Version"),
        (json.dumps({**DOCUMENT, "Version": "3"}).encode(), "Version"),
        (encode_document_with_route(Kind="sometimes"), "sometimes"),
        (encode_document_with_route(Service="nobody"), "nobody"),
        (encode_document_with_route(PathPrefix="a"), "path_prefix"),
        (encode_document_with_route(TimeoutMs=-1), "timeout"),
        (b"\xff", "malformed"),
        (b"[]", "object"),
    ],
)
def test_a_document_that_is_wrong_is_refused_by_name(data, named):
    # The error names the faulty field or value.
    with pytest.raises(wire_document.DocumentError, match=named):
        wire_document.decode_replacement(data)


def test_a_heartbeat_is_decoded():
    record = control_api.decode_heartbeat("i", json.dumps(HEARTBEAT).encode())
    assert record.identity == "i"
    assert (record.incarnation, record.sequence) == (11, 7)
    assert record.weight_version == "2"
    assert record.software_version == "v1.2"


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff",
        b"null",
        json.dumps(without_key(HEARTBEAT, "Address")).encode(),
        json.dumps({**HEARTBEAT, "Slots": "four"}).encode(),
        json.dumps({**HEARTBEAT, "State": "dancing"}).encode(),
    ],
)
def test_an_announcement_of_another_writer_is_refused(data):
    # Heartbeats that are malformed or have an unknown state.
    with pytest.raises(control_api.HeartbeatError):
        control_api.decode_heartbeat("i", data)


def make_headers(**fields):
    return multidict.CIMultiDict(
        {name.replace("_", "-"): value for name, value in fields.items()}
    )


def test_prompt_headers_are_decoded_part_by_part():
    prompt = headers.decode_prompt(
        make_headers(
            X_Model="m", X_Token_Usage="30,8", X_Prefix_Hash="ab:10, cd:20"
        )
    )
    assert [(p.part_id, p.tokens) for p in prompt.parts] == [
        ("ab", 10),
        ("cd", 20),
    ]
    assert (prompt.tokens, prompt.max_output) == (30, 8)


@pytest.mark.parametrize(
    "fields",
    [
        {"X_Token_Usage": "30,8"},
        {"X_Model": "m", "X_Token_Usage": "30"},
        {"X_Model": "m", "X_Token_Usage": "x,y"},
        {"X_Model": "m", "X_Token_Usage": "30,8", "X_Prefix_Hash": "ab:z"},
        {"X_Model": "m", "X_Token_Usage": "-30,8"},
        {"X_Model": "m", "X_Token_Usage": "30,8", "X_Prefix_Hash": "ab:-5"},
    ],
)
def test_malformed_prompt_headers_are_ignored(fields):
    assert headers.decode_prompt(make_headers(**fields)) is None


def test_hop_by_hop_headers_are_not_forwarded():
    raw = (
        (b"Connection", b"close, X-Private"),
        (b"X-Private", b"1"),
        (b"X-Other", b"2"),
        (b"Transfer-Encoding", b"chunked"),
    )
    assert headers.end_to_end(raw) == [(b"X-Other", b"2")]


# Guards against answers that nobody can tell apart: a client named the id of
# its request in Connection, and it was not passed on.
@pytest.mark.parametrize("name", [b"X-Request-Id", b"X-Response-Seal"])
def test_what_tells_messages_apart_is_forwarded_in_any_case(name):
    raw = ((b"Connection", name.lower()), (name, b"1"))
    assert headers.end_to_end(raw) == [(name, b"1")]


# Guards against a status 500 for an operator's order.
@pytest.mark.parametrize(
    "decode",
    [
        lambda data: wire_document.decode_replacement(data),
        wire_document.decode_weights,
    ],
)
def test_an_order_that_is_nested_too_deeply_is_invalid(decode):
    with pytest.raises(wire_document.DocumentError):
        decode(b'{"x":' + b"[" * 100_000)


@pytest.mark.parametrize(
    ("text", "timeout_s"),
    [("1500", 1.5), (None, None), ("", None), ("nan", None), ("soon", None)],
)
def test_a_malformed_deadline_header_is_ignored(text, timeout_s):
    assert headers.decode_timeout(text) == timeout_s


# Guards against a route that takes the place of another one whose name is that
# of a repeated name with its index.
def test_routes_of_one_name_are_all_there():
    names = ["a", "a#2", "a", "a#0", "a", "a#2#1", "a#2"]
    routes = [
        {**DOCUMENT["Routes"][0], "Name": name, "PathPrefix": f"/{index}/"}
        for index, name in enumerate(names)
    ]
    replacement = wire_document.decode_replacement(
        json.dumps({**DOCUMENT, "Routes": routes}).encode()
    )
    prefixes = [r.path_prefix for r in replacement.document.routes.values()]
    assert prefixes == [f"/{index}/" for index in range(len(names))]


# Guards against a tenant whose keys are lost, or a service whose settings are,
# to another of its name.
@pytest.mark.parametrize("collection", ["Services", "Tenants"])
def test_a_service_or_tenant_named_twice_is_refused(collection):
    entry = without_key(DOCUMENT[collection][0], "ApiKeys")
    entries = [*DOCUMENT[collection], entry]
    data = json.dumps({**DOCUMENT, collection: entries}).encode()
    with pytest.raises(wire_document.DocumentError, match="named twice"):
        wire_document.decode_replacement(data)


# Guards against a tenant whose name adds headers to requests at runners.
@pytest.mark.parametrize("name", ["a\r\nX-Hold: 1", "a\nb", "\x00", "a\x7f"])
def test_a_tenant_whose_name_no_header_can_hold_is_refused(name):
    tenants = [{"Name": name, "ApiKeys": ["k"]}]
    data = json.dumps({**DOCUMENT, "Tenants": tenants}).encode()
    with pytest.raises(wire_document.DocumentError, match="control character"):
        wire_document.decode_replacement(data)


# Guards against a 500 for a key or path whose bytes are no UTF-8; the HTTP
# parser hands them over as surrogates.
def test_a_key_or_path_of_any_bytes_is_no_exception():
    context = builders.make_context()
    with pytest.raises(responses.RequestError) as caught:
        call_factory._authenticate(context, "\udcff")
    assert caught.value.error_detail.code is codes.UNAUTHORIZED
    call = builders.make_call()
    digests = {
        call_factory.fingerprint(call, path, b"") for path in ("/\udcff", "/")
    }
    assert len(digests) == 2
