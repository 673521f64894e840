"""Authenticates links and datagrams between instances with a shared key."""

import hashlib
import hmac
import pathlib
import re
import secrets
import time

import msgspec

MAC_BYTES = 16
NONCE_BYTES = 16
COUNTER_BYTES = 8
REPLAY_WINDOW_DATAGRAMS = 64
MIN_KEY_BYTES = 16
MAGIC = b"CLB1"
_KEY_LINE = re.compile(r"\s*([A-Za-z0-9_-]{1,32})\s*=\s*([0-9a-fA-F]+)\s*")


class AuthenticationError(Exception):
    """A frame, datagram or handshake that fails authentication."""


class KeyRing:
    """Shared keys by id, reloaded when their file changes.

    New messages are signed with the key on the last line; every listed key
    is accepted, so that keys can be rotated without a restart.

    Attributes:
        path: The key file, with lines ``id = hex``; None on a trusted
            network.
        keys: Keys by id.
        signing_key_id: Id of the key that signs new messages.
    """

    __slots__ = ("path", "keys", "signing_key_id", "_file_version")

    def __init__(self, path: str | pathlib.Path | None) -> None:
        """Loads the key file.

        Args:
            path: The key file. If None, all instances use a well-known key:
                frames are protected against corruption, but their sender
                is not authenticated.

        Raises:
            AuthenticationError: The file has no usable key.
            OSError: The file can't be read.
        """
        self.path = None if path is None else pathlib.Path(path)
        self.keys: dict[str, bytes] = {"open": bytes(MIN_KEY_BYTES)}
        self.signing_key_id = "open"
        self._file_version: tuple | None = None
        self.refresh()

    def refresh(self) -> bool:
        """Reloads the key file if it changed.

        The current keys are kept if the file has no usable key.

        Returns:
            True if the keys were reloaded.

        Raises:
            AuthenticationError: The file has no usable key.
            OSError: The file can't be read.
        """
        if self.path is None:
            return False
        stat = self.path.stat()
        file_version = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        if file_version == self._file_version:
            return False
        keys = parse_keys(self.path.read_text(encoding="utf-8"))
        self._file_version = file_version
        self.keys = keys
        self.signing_key_id = list(keys)[-1]
        return True


def parse_keys(text: str) -> dict[str, bytes]:
    """Parses lines ``id = hex``; ``#`` starts a comment.

    Raises:
        AuthenticationError: A line is malformed, or there is no key.
    """
    keys = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if not line:
            continue
        match = _KEY_LINE.fullmatch(line)
        if match is None or len(match[2]) < 2 * MIN_KEY_BYTES:
            raise AuthenticationError(
                f"line {number}: must be 'id = hex' with a key of at least "
                f"{MIN_KEY_BYTES} bytes"
            )
        if len(match[2]) % 2:
            raise AuthenticationError(
                f"line {number}: odd number of hex digits"
            )
        keys[match[1]] = bytes.fromhex(match[2])
    if not keys:
        raise AuthenticationError("key file contains no key")
    return keys


class Hello(msgspec.Struct):
    """First message that each side of a link sends.

    Attributes:
        magic: Identifies the protocol and its version; ``MAGIC``.
        key_id: Id of the shared key that the client chose.
        name: Name of the sending instance.
        zone: Availability zone of the sending instance.
        nonce: Random bytes, in hex.
        purpose: What the connection is for; empty for a link.
    """

    magic: str
    key_id: str
    name: str
    zone: str
    nonce: str
    purpose: str = ""


def make_hello(key_id: str, name: str, zone: str, purpose: str = "") -> Hello:
    """Returns a hello message with a new random nonce."""
    nonce = secrets.token_hex(NONCE_BYTES)
    return Hello(MAGIC.decode(), key_id, name, zone, nonce, purpose)


class FrameAuthenticator:
    """Signs and verifies the frames of one direction of a link, in order.

    Replayed, reordered or forged frames are rejected, because the MAC of
    each frame covers a frame counter and is keyed with the nonces of both
    sides.

    Attributes:
        frame_count: Number of frames signed or verified so far.
    """

    __slots__ = ("frame_count", "_key")

    def __init__(
        self, key: bytes, client: Hello, server: Hello, direction: str
    ) -> None:
        """Derives the key for one direction.

        Args:
            key: Shared key.
            client: Hello message of the side that opened the connection.
            server: Hello message of the side that accepted it.
            direction: ``out`` for frames from the client, ``in`` for frames
                from the server.
        """
        context = "/".join(
            (
                direction,
                client.name,
                client.zone,
                client.nonce,
                server.name,
                server.zone,
                server.nonce,
            )
        )
        if client.purpose:
            context += f"/{client.purpose}"
        self._key = hmac.digest(key, context.encode(), "sha256")
        self.frame_count = 0

    def sign(self, data: bytes) -> bytes:
        """Returns the MAC that precedes the data of the next frame."""
        mac = _mac(self._key, self.frame_count, data)
        self.frame_count += 1
        return mac

    def verify(self, mac: bytes, data: bytes) -> None:
        """Verifies the MAC of the next frame.

        Raises:
            AuthenticationError: The frame is not the next one of this link.
        """
        if not hmac.compare_digest(
            mac, _mac(self._key, self.frame_count, data)
        ):
            raise AuthenticationError(
                f"frame {self.frame_count} has a wrong MAC"
            )
        self.frame_count += 1


def _mac(key: bytes, frame_count: int, data: bytes) -> bytes:
    message = frame_count.to_bytes(COUNTER_BYTES, "big") + data
    return hashlib.blake2b(message, key=key, digest_size=MAC_BYTES).digest()


class DatagramAuthenticator:
    """Signs and verifies datagrams.

    Attributes:
        name: Name of this instance.
        ring: Shared keys.
    """

    __slots__ = ("name", "ring", "_counter", "_replay_windows")

    def __init__(self, name: str, ring: KeyRing) -> None:
        """Starts the counter at the time, above the values of earlier runs."""
        self.name = name
        self.ring = ring
        self._counter = time.time_ns()
        # By sender: the highest counter received, and a bit mask in which
        # bit i is set if the counter i below the highest was received.
        self._replay_windows: dict[str, tuple[int, int]] = {}

    def sign(self, data: bytes) -> bytes:
        """Returns a datagram with a header and a MAC before the data."""
        self._counter += 1
        key_id = self.ring.signing_key_id.encode()
        name = self.name.encode()
        header = (
            MAGIC
            + bytes((len(key_id),))
            + key_id
            + bytes((len(name),))
            + name
            + self._counter.to_bytes(COUNTER_BYTES, "big")
        )
        key = self.ring.keys[self.ring.signing_key_id]
        # BLAKE2b accepts keys of at most 64 bytes.
        return header + _mac(key[:64], 0, header + data) + data

    def verify(self, datagram: bytes) -> tuple[str, bytes]:
        """Verifies a datagram.

        Args:
            datagram: Bytes from the network.

        Returns:
            Name of the sender, and the data.

        Raises:
            AuthenticationError: The datagram is forged, truncated or replayed.
        """
        try:
            sender, counter, mac, header, data = self._parse_datagram(datagram)
        except (IndexError, UnicodeDecodeError):
            raise AuthenticationError(
                f"malformed datagram of {len(datagram)} bytes"
            ) from None
        key_length = datagram[len(MAGIC)]
        start = len(MAGIC) + 1
        key_id = datagram[start : start + key_length].decode("ascii", "replace")
        key = self.ring.keys.get(key_id)
        if key is None:
            raise AuthenticationError(
                f"datagram with sender {sender!r} has unknown key {key_id!r}"
            )
        if not hmac.compare_digest(mac, _mac(key[:64], 0, header + data)):
            raise AuthenticationError(
                f"datagram with sender {sender!r} and key {key_id!r} has a "
                f"wrong MAC"
            )
        self._check_replay(sender, counter)
        return sender, data

    def _parse_datagram(
        self, datagram: bytes
    ) -> tuple[str, int, bytes, bytes, bytes]:
        if datagram[: len(MAGIC)] != MAGIC:
            raise AuthenticationError(
                f"datagram of another protocol: magic {datagram[:4]!r}"
            )
        position = len(MAGIC)
        position += 1 + datagram[position]
        name_length = datagram[position]
        name = datagram[position + 1 : position + 1 + name_length].decode()
        position += 1 + name_length
        counter = datagram[position : position + COUNTER_BYTES]
        position += COUNTER_BYTES
        mac = datagram[position : position + MAC_BYTES]
        if len(mac) < MAC_BYTES:
            raise AuthenticationError(
                f"truncated datagram of {len(datagram)} bytes"
            )
        return (
            name,
            int.from_bytes(counter, "big"),
            mac,
            datagram[:position],
            datagram[position + MAC_BYTES :],
        )

    def _check_replay(self, sender: str, counter: int) -> None:
        highest, seen_bits = self._replay_windows.get(sender, (0, 0))
        if counter > highest:
            seen_bits = (
                seen_bits << min(counter - highest, REPLAY_WINDOW_DATAGRAMS)
            ) | 1
            seen_bits &= (1 << REPLAY_WINDOW_DATAGRAMS) - 1
            self._replay_windows[sender] = (counter, seen_bits)
            return
        age = highest - counter
        if age >= REPLAY_WINDOW_DATAGRAMS or seen_bits >> age & 1:
            raise AuthenticationError(
                f"replayed datagram of {sender!r}: counter {counter}"
            )
        self._replay_windows[sender] = (highest, seen_bits | 1 << age)
