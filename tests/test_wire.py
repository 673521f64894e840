from chivelb_core.consensus import log
from chivelb_core.consensus import messages as consensus_messages
from chivelb_core.membership import messages as membership_messages
from chivelb_node.wire import authentication
from chivelb_node.wire import codec
from chivelb_node.wire import schema
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

MEMBER = membership_messages.Member("a", "r", "z", "127.0.0.1:1", 3)
SAMPLES = [
    membership_messages.Ping(7, 3, [MEMBER]),
    consensus_messages.Append(
        "b", "a", 2, 1, 1, [log.Entry(2, 2, "change", b"\x00\xff")], 1, 9
    ),
]


def test_committed_schema_equals_the_message_types():
    committed = schema.SCHEMA_PATH.read_text(encoding="utf-8")
    assert committed == schema.render_schema()


@pytest.mark.parametrize("body", SAMPLES)
def test_a_message_survives_the_wire(body):
    envelope = codec.Envelope(body, request_id=5, reply_to=2**63)
    assert codec.decode(codec.encode(envelope)) == envelope


@settings(max_examples=400, derandomize=True, deadline=None)
@given(strategies.binary(max_size=400))
def test_decoding_arbitrary_bytes_raises_only_wire_errors(data):
    try:
        codec.decode(data)
    except codec.WireError:
        pass


@settings(max_examples=400, derandomize=True, deadline=None)
@given(strategies.data())
def test_decoding_a_damaged_message_raises_only_wire_errors(data):
    encoded = bytearray(codec.encode(codec.Envelope(SAMPLES[1])))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(strategies.integers(0, 255))
    length = data.draw(strategies.integers(0, len(encoded)))
    try:
        codec.decode(bytes(encoded[:length]))
    except codec.WireError:
        pass


def make_ring(tmp_path, text="k1 = " + "ab" * 32):
    path = tmp_path / "keys"
    path.write_text(text)
    return authentication.KeyRing(path)


def test_datagrams_are_authenticated_and_not_replayed(tmp_path):
    ring = make_ring(tmp_path)
    sender = authentication.DatagramAuthenticator("a", ring)
    receiver = authentication.DatagramAuthenticator("b", ring)
    first, second = sender.sign(b"one"), sender.sign(b"two")
    assert receiver.verify(second) == ("a", b"two")
    assert receiver.verify(first) == ("a", b"one")
    for replayed in (first, second):
        with pytest.raises(
            authentication.AuthenticationError, match="replayed"
        ):
            receiver.verify(replayed)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(strategies.binary(max_size=120))
def test_an_unauthenticated_datagram_is_rejected(tmp_path_factory, data):
    ring = make_ring(tmp_path_factory.mktemp("ring"))
    receiver = authentication.DatagramAuthenticator("b", ring)
    for datagram in (data, authentication.MAGIC + data):
        with pytest.raises(authentication.AuthenticationError):
            receiver.verify(datagram)


def test_a_datagram_with_a_wrong_key_is_rejected(tmp_path):
    ours = make_ring(tmp_path)
    datagram = authentication.DatagramAuthenticator("a", ours).sign(b"x")
    (tmp_path / "keys").write_text("k1 = " + "cd" * 32)
    theirs = authentication.KeyRing(tmp_path / "keys")
    with pytest.raises(authentication.AuthenticationError, match="wrong"):
        authentication.DatagramAuthenticator("b", theirs).verify(datagram)


def test_frames_of_a_link_are_accepted_only_in_sequence(tmp_path):
    key = bytes(32)
    client = authentication.make_hello("k1", "a", "z")
    server = authentication.make_hello("k1", "b", "z")
    signer = authentication.FrameAuthenticator(key, client, server, "out")
    verifier = authentication.FrameAuthenticator(key, client, server, "out")
    first = signer.sign(b"one")
    second = signer.sign(b"two")
    with pytest.raises(authentication.AuthenticationError):
        verifier.verify(second, b"two")
    verifier.verify(first, b"one")
    with pytest.raises(authentication.AuthenticationError):
        verifier.verify(first, b"one")
    verifier.verify(second, b"two")


def test_keys_rotate_without_a_restart(tmp_path):
    ring = make_ring(tmp_path)
    old = authentication.DatagramAuthenticator("a", ring).sign(b"x")
    ring.path.write_text("k1 = " + "ab" * 32 + "\nk2 = " + "cd" * 32)
    assert ring.refresh()
    receiver = authentication.DatagramAuthenticator("b", ring)
    assert receiver.verify(old) == ("a", b"x")
    new = authentication.DatagramAuthenticator("a", ring).sign(b"y")
    ring.path.write_text("k2 = " + "cd" * 32)
    assert ring.refresh()
    with pytest.raises(authentication.AuthenticationError, match="unknown key"):
        receiver.verify(old)
    assert receiver.verify(new) == ("a", b"y")


@pytest.mark.parametrize(
    "text",
    ["", "k1", "k1 = zz", "k1 = abcd", "k1 = " + "a" * 33, "= " + "ab" * 32],
)
def test_a_bad_key_file_is_refused_and_leaves_the_keys(tmp_path, text):
    ring = make_ring(tmp_path)
    ring.path.write_text(text)
    with pytest.raises(authentication.AuthenticationError):
        ring.refresh()
    assert list(ring.keys) == ["k1"]
