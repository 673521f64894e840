"""Reads request bodies within bounds of size, time and headers."""

import asyncio

from aiohttp import web
from chivelb_core import codes
import msgspec

from chivelb_node.edge import responses


async def read_body(
    request: web.Request, *, max_bytes: int, timeout_s: float
) -> bytes:
    """Reads a whole body.

    Args:
        request: The request.
        max_bytes: Largest body.
        timeout_s: Longest time it may take.

    Returns:
        The body.

    Raises:
        responses.CodedError: It is too large, too slow or broke off.
    """
    declared = request.content_length
    if declared is not None and declared > max_bytes:
        raise _too_large(declared, max_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_bounded(request, max_bytes)
    except TimeoutError:
        raise responses.CodedError(
            codes.BODY_TOO_SLOW, f"not complete after {timeout_s} s"
        ) from None
    except web.HTTPException as error:
        raise responses.CodedError(codes.BAD_FIELD, error.reason) from None


async def _read_bounded(request: web.Request, max_bytes: int) -> bytes:
    chunks = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise _too_large(size, max_bytes)
        chunks.append(chunk)
    return b"".join(chunks)


def _too_large(size: int, max_bytes: int) -> responses.CodedError:
    return responses.CodedError(
        codes.BODY_TOO_LARGE, f"{size} bytes; at most {max_bytes} are taken"
    )


def decode_json(body: bytes) -> dict:
    """Decodes a JSON object.

    Raises:
        responses.CodedError: It is not UTF-8, not JSON or not an object.
    """
    try:
        body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise responses.CodedError(
            codes.BAD_ENCODING, f"byte {error.start} is not UTF-8"
        ) from None
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise responses.CodedError(codes.BAD_JSON, str(error)) from None
    if not isinstance(value, dict):
        raise responses.CodedError(
            codes.BAD_JSON, "the body must be a JSON object"
        )
    return value
