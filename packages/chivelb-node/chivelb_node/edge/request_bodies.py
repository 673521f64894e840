"""Reads request bodies with limits on size, time and memory."""

import asyncio

from aiohttp import web
from chivelb_core import byte_budget
from chivelb_core import codes
import msgspec

from chivelb_node.edge import responses

# How often a body is held while its request runs: as received, and once more
# in the write buffer of the connection to a target that does not read it.
FORWARDED_COPIES = 2


async def read_body(
    request: web.BaseRequest,
    *,
    max_bytes: int,
    timeout_s: float,
    charge: byte_budget.Charge,
    copies: int = FORWARDED_COPIES,
) -> bytes:
    """Reads a complete request body.

    Args:
        request: The request.
        max_bytes: Maximum size of the body, in bytes.
        timeout_s: Maximum time to receive the body, in seconds.
        charge: Charged with the body; the caller closes it once the body is
            not needed any more.
        copies: How often the body is held at most.

    Returns:
        The body.

    Raises:
        responses.RequestError: The body is too large, too slow or truncated,
            or the process buffers too much.
    """
    content_length = request.content_length
    if content_length is not None and content_length > max_bytes:
        raise _too_large(content_length, max_bytes)
    loop = asyncio.get_running_loop()
    content = request.content
    if content.is_eof():
        # Most bodies come together with their head.
        body = content.read_nowait()
        _charge_bytes(
            request, charge, len(body), max_bytes, copies, loop.time()
        )
        return body
    try:
        async with asyncio.timeout(timeout_s) as limit:

            def give_way() -> None:
                if not limit.expired():
                    limit.reschedule(loop.time())

            charge.begin_receiving(give_way, loop.time())
            try:
                return await _read_bounded(
                    request, max_bytes, charge, copies, loop
                )
            finally:
                charge.end_receiving()
    except TimeoutError:
        if charge.is_revoked:
            raise _no_room(
                request, "stalled_body", "the body made no progress"
            ) from None
        raise responses.RequestError(
            codes.BODY_TOO_SLOW, f"request body incomplete after {timeout_s} s"
        ) from None
    except web.RequestPayloadError as error:
        raise responses.RequestError(codes.UNREADABLE, str(error)) from None
    except web.HTTPException as error:
        raise responses.RequestError(codes.BAD_FIELD, error.reason) from None


async def _read_bounded(
    request: web.BaseRequest,
    max_bytes: int,
    charge: byte_budget.Charge,
    copies: int,
    loop: asyncio.AbstractEventLoop,
) -> bytes:
    # One buffer: an object for each small chunk takes many times its bytes.
    body = bytearray()
    async for chunk in request.content.iter_any():
        _charge_bytes(
            request,
            charge,
            len(chunk),
            max_bytes,
            copies,
            loop.time(),
            received=len(body),
        )
        body += chunk
    return bytes(body)


def _charge_bytes(
    request: web.BaseRequest,
    charge: byte_budget.Charge,
    size: int,
    max_bytes: int,
    copies: int,
    now: float,
    *,
    received: int = 0,
) -> None:
    """Charges bytes of a body.

    Raises:
        responses.RequestError: The body is too large, or there is no room.
    """
    if received + size > max_bytes:
        raise _too_large(received + size, max_bytes)
    if not charge.try_add(size * copies, now):
        raise _no_room(
            request, "buffers", "too much is buffered for other requests"
        )


def _no_room(
    request: web.BaseRequest, limit: str, detail: str
) -> responses.RequestError:
    request.protocol.record_refusal(limit, detail)
    return responses.RequestError(codes.BUFFERS_FULL, detail)


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
