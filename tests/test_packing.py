"""Compact payloads of reports between instances."""

from chivelb_node.wire import messages
from chivelb_node.wire import packing
import msgspec
import pytest

DECODER = msgspec.msgpack.Decoder(list[messages.SendEntry])
ENTRIES = [messages.SendEntry(f"i-{n:010x}", n, 100, 200, 0) for n in range(40)]


def unpack(payload, max_bytes=100_000):
    return packing.unpack(payload, DECODER, max_bytes=max_bytes)


def test_a_packed_list_is_shorter_and_unpacks_to_the_same_entries():
    payload = packing.pack(ENTRIES)
    assert len(payload) < len(msgspec.msgpack.encode(ENTRIES)) / 3
    assert unpack(payload) == ENTRIES


def test_a_payload_of_the_previous_release_is_unpacked():
    assert unpack(msgspec.msgpack.encode(ENTRIES)) == ENTRIES
    assert unpack(msgspec.msgpack.encode([])) == []


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xff",
        b"x",
        b"x\x9cgarbage",
        packing.pack(ENTRIES)[:-9],
        packing.pack([1, 2]),
    ],
)
def test_a_malformed_payload_is_refused(payload):
    with pytest.raises(packing.PackingError):
        unpack(payload)


def test_a_payload_that_expands_beyond_the_limit_is_refused():
    with pytest.raises(packing.PackingError, match="more than 1000 bytes"):
        unpack(packing.pack(ENTRIES * 10), max_bytes=1_000)
