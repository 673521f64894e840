"""Authenticates links and datagrams between instances by a shared key."""

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
WINDOW = 64
MIN_KEY_BYTES = 16
MAGIC = b"CLB1"
_LINE = re.compile(r"\s*([A-Za-z0-9_-]{1,32})\s*=\s*([0-9a-fA-F]+)\s*")


class SealError(Exception):
    """A frame, datagram or greeting that is not from a peer."""


class KeyRing:
    """Shared keys by id, read again when their file changes.

    The last line's key seals; every listed key is accepted, so that keys
    are rotated without a restart.

    Attributes:
        path: The file, with lines ``id = hex``; None for a network whose
            instances are trusted.
        keys: Keys by id.
        newest: Id of the key that seals.
    """

    __slots__ = ("path", "keys", "newest", "_stamp")

    def __init__(self, path: str | pathlib.Path | None) -> None:
        """Reads the file.

        Args:
            path: The file. Without one all instances use a key that is no
                secret: frames are checked for damage, not for their sender.

        Raises:
            SealError: It has no usable key.
            OSError: It can't be read.
        """
        self.path = None if path is None else pathlib.Path(path)
        self.keys: dict[str, bytes] = {"open": bytes(MIN_KEY_BYTES)}
        self.newest = "open"
        self._stamp: tuple | None = None
        self.refresh()

    def refresh(self) -> bool:
        """Reads the file again if it changed; True when it did.

        A file without a usable key leaves the keys as they are, and raises.

        Raises:
            SealError: The file has no usable key.
            OSError: It can't be read.
        """
        if self.path is None:
            return False
        stat = self.path.stat()
        stamp = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        if stamp == self._stamp:
            return False
        keys = parse_keys(self.path.read_text(encoding="utf-8"))
        self._stamp = stamp
        self.keys = keys
        self.newest = list(keys)[-1]
        return True


def parse_keys(text: str) -> dict[str, bytes]:
    """Parses lines ``id = hex``; ``#`` starts a comment.

    Raises:
        SealError: A line is wrong or there is no key.
    """
    keys = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if not line:
            continue
        match = _LINE.fullmatch(line)
        if match is None or len(match[2]) < 2 * MIN_KEY_BYTES:
            raise SealError(
                f"line {number}: must be 'id = hex' of at least "
                f"{MIN_KEY_BYTES} bytes"
            )
        if len(match[2]) % 2:
            raise SealError(f"line {number}: odd number of hex digits")
        keys[match[1]] = bytes.fromhex(match[2])
    if not keys:
        raise SealError("no key")
    return keys


class Greeting(msgspec.Struct):
    """First bytes of each side of a link.

    Attributes:
        magic: Names the protocol and its version.
        key_id: Key that the dialler uses.
        name: Name of the instance.
        zone: Its availability zone.
        nonce: Random bytes in hex.
    """

    magic: str
    key_id: str
    name: str
    zone: str
    nonce: str


def make_greeting(key_id: str, name: str, zone: str) -> Greeting:
    """Returns a greeting with a fresh nonce."""
    return Greeting(
        MAGIC.decode(), key_id, name, zone, secrets.token_hex(NONCE_BYTES)
    )


class LinkSeal:
    """Seals the frames of one direction of a link, in order.

    Replayed, reordered or foreign frames fail, because the counter and the
    nonces of both sides are part of each frame's code.

    Attributes:
        count: Number of frames so far.
    """

    __slots__ = ("count", "_key")

    def __init__(
        self, key: bytes, dialler: Greeting, acceptor: Greeting, way: str
    ) -> None:
        """Derives the key of one direction.

        Args:
            key: Shared key.
            dialler: Greeting of the dialling side.
            acceptor: Greeting of the accepting side.
            way: ``out`` for frames of the dialler, ``in`` for the others.
        """
        context = "/".join(
            (
                way,
                dialler.name,
                dialler.zone,
                dialler.nonce,
                acceptor.name,
                acceptor.zone,
                acceptor.nonce,
            )
        )
        self._key = hmac.digest(key, context.encode(), "sha256")
        self.count = 0

    def seal(self, data: bytes) -> bytes:
        """Returns the code that goes before a frame's data."""
        mac = _mac(self._key, self.count, data)
        self.count += 1
        return mac

    def check(self, mac: bytes, data: bytes) -> None:
        """Checks the next frame.

        Raises:
            SealError: It is not the next frame of this link.
        """
        if not hmac.compare_digest(mac, _mac(self._key, self.count, data)):
            raise SealError("a frame's code is wrong")
        self.count += 1


def _mac(key: bytes, count: int, data: bytes) -> bytes:
    message = count.to_bytes(COUNTER_BYTES, "big") + data
    return hashlib.blake2b(message, key=key, digest_size=MAC_BYTES).digest()


class DatagramSeal:
    """Seals and checks datagrams.

    Attributes:
        name: Name of this instance.
        ring: Shared keys.
    """

    __slots__ = ("name", "ring", "_counter", "_windows")

    def __init__(self, name: str, ring: KeyRing) -> None:
        """Creates a seal whose counters start above those of earlier runs."""
        self.name = name
        self.ring = ring
        self._counter = time.time_ns()
        self._windows: dict[str, tuple[int, int]] = {}

    def seal(self, data: bytes) -> bytes:
        """Returns a sealed datagram."""
        self._counter += 1
        key_id = self.ring.newest.encode()
        name = self.name.encode()
        head = (
            MAGIC
            + bytes((len(key_id),))
            + key_id
            + bytes((len(name),))
            + name
            + self._counter.to_bytes(COUNTER_BYTES, "big")
        )
        key = self.ring.keys[self.ring.newest]
        return head + _mac(key[:64], 0, head + data) + data

    def open(self, datagram: bytes) -> tuple[str, bytes]:
        """Checks a datagram.

        Args:
            datagram: Bytes from the network.

        Returns:
            Name of the sender, and the data.

        Raises:
            SealError: It is foreign, torn or replayed.
        """
        try:
            sender, counter, mac, head, data = self._split(datagram)
        except (IndexError, UnicodeDecodeError):
            raise SealError("a torn datagram") from None
        key_length = datagram[len(MAGIC)]
        start = len(MAGIC) + 1
        key_id = datagram[start : start + key_length].decode("ascii", "replace")
        key = self.ring.keys.get(key_id)
        if key is None:
            raise SealError("an unknown key")
        if not hmac.compare_digest(mac, _mac(key[:64], 0, head + data)):
            raise SealError("a datagram's code is wrong")
        self._check_replay(sender, counter)
        return sender, data

    def _split(self, datagram: bytes) -> tuple[str, int, bytes, bytes, bytes]:
        if datagram[: len(MAGIC)] != MAGIC:
            raise SealError("not our protocol")
        at = len(MAGIC)
        at += 1 + datagram[at]
        name_length = datagram[at]
        name = datagram[at + 1 : at + 1 + name_length].decode()
        at += 1 + name_length
        counter = datagram[at : at + COUNTER_BYTES]
        at += COUNTER_BYTES
        mac = datagram[at : at + MAC_BYTES]
        if len(mac) < MAC_BYTES:
            raise SealError("a torn datagram")
        return (
            name,
            int.from_bytes(counter, "big"),
            mac,
            datagram[:at],
            datagram[at + MAC_BYTES :],
        )

    def _check_replay(self, sender: str, counter: int) -> None:
        highest, seen = self._windows.get(sender, (0, 0))
        if counter > highest:
            seen = (seen << min(counter - highest, WINDOW)) | 1
            seen &= (1 << WINDOW) - 1
            self._windows[sender] = (counter, seen)
            return
        age = highest - counter
        if age >= WINDOW or seen >> age & 1:
            raise SealError("a replayed datagram")
        self._windows[sender] = (highest, seen | 1 << age)
