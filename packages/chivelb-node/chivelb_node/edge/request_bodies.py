"""Reads request bodies with limits on size and time."""

import asyncio

from aiohttp import web
from chivelb_core import codes
import msgspec

from chivelb_node.edge import responses


async def read_body(
    request: web.Request, *, max_bytes: int, timeout_s: float
) -> bytes:
    """Reads a complete request body.

    Args:
        request: The request.
        max_bytes: Maximum size of the body, in bytes.
        timeout_s: Maximum time to receive the body, in seconds.

    Returns:
        The body.

    Raises:
        responses.RequestError: The body is too large, too slow or truncated.
    """
    content_length = request.content_length
    if content_length is not None and content_length > max_bytes:
        raise _too_large(content_length, max_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_bounded(request, max_bytes)
    except TimeoutError:
        raise responses.RequestError(
            codes.BODY_TOO_SLOW, f"request body incomplete after {timeout_s} s"
        ) from None
    except web.HTTPException as error:
        raise responses.RequestError(codes.BAD_FIELD, error.reason) from None


async def _read_bounded(request: web.Request, max_bytes: int) -> bytes:
    chunks = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise _too_large(size, max_bytes)
        chunks.append(chunk)
    return b"".join(chunks)


def _too_large(size: int, max_bytes: int) -> responses.RequestError:
    return responses.RequestError(
        codes.BODY_TOO_LARGE,
        f"{size} bytes exceed the limit of {max_bytes} bytes",
    )


def decode_json(body: bytes) -> dict:
    """Decodes a JSON object.

    Raises:
        responses.RequestError: The body is not UTF-8, not JSON or not an
            object.
    """
    try:
        body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise responses.RequestError(
            codes.BAD_ENCODING, f"byte {error.start} is not valid UTF-8"
        ) from None
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise responses.RequestError(codes.BAD_JSON, str(error)) from None
    if not isinstance(value, dict):
        raise responses.RequestError(
            codes.BAD_JSON, "the request body must be a JSON object"
        )
    return value
