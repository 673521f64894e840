"""Compact encoding of payloads with many similar entries.

Reports that go to many peers are mostly names that recur: MessagePack keeps
them short to decode, and compression keeps them short on the links.
"""

from typing import Any
import zlib

import msgspec

COMPRESSION_LEVEL = 6
# First byte of a zlib stream; no list in MessagePack begins with it.
_ZLIB_MARK = 0x78


class PackingError(Exception):
    """A payload can't be unpacked."""


def pack(entries: list[Any]) -> bytes:
    """Returns a list as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(entries), COMPRESSION_LEVEL)


def unpack(
    payload: bytes, decoder: msgspec.msgpack.Decoder, *, max_bytes: int
) -> list[Any]:
    """Returns the list in a payload.

    Payloads without compression, which instances of the previous release
    send, are accepted too.

    Args:
        payload: A payload that ``pack`` returned.
        decoder: Decoder of the list.
        max_bytes: Largest size without compression.

    Raises:
        PackingError: The payload is malformed or too large.
    """
    data = payload
    try:
        if payload[:1] == bytes([_ZLIB_MARK]):
            decompressor = zlib.decompressobj()
            data = decompressor.decompress(payload, max_bytes)
            if not decompressor.eof:
                raise PackingError(
                    f"payload of {len(payload)} bytes is incomplete, or has "
                    f"more than {max_bytes} bytes without compression"
                )
        return decoder.decode(data)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise PackingError(str(error)) from None
