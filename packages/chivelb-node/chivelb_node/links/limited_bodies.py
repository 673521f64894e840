"""Reads complete response bodies of the client session, up to a limit."""

import aiohttp

from chivelb_node.telemetry import logs

_log = logs.get_logger("limited-bodies")


async def read_limited(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Reads a body and closes the connection if the body is too long.

    Args:
        response: The response.
        max_bytes: Limit for the body, in bytes.

    Raises:
        aiohttp.ClientError: The body is too long or incomplete.
    """
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            response.close()
            detail = f"body exceeds {max_bytes} bytes"
            _log.warning(
                "response exceeds a limit",
                address=response.url.authority,
                path=response.url.path,
                error=detail,
            )
            raise aiohttp.ClientPayloadError(detail)
        chunks.append(chunk)
    return b"".join(chunks)
