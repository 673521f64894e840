"""Reads complete response bodies of the client session, up to a limit."""

import aiohttp
from aiohttp import base_protocol

from chivelb_node.links import parser_errors
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
        aiohttp.ClientError: The body is too long or incomplete, or the status
            is that of no response.
    """
    if response.status < parser_errors.MIN_FINAL_STATUS:
        response.close()
        raise aiohttp.ClientPayloadError(
            f"impossible status {response.status:03}"
        )
    protocol = protocol_of(response)
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
    if was_reset(protocol):
        raise aiohttp.ClientPayloadError(
            "connection was reset within the response"
        )
    return b"".join(chunks)


def protocol_of(
    response: aiohttp.ClientResponse,
) -> base_protocol.BaseProtocol | None:
    """Returns the protocol of a response's connection.

    It must be taken before the body is read, whose end releases the connection;
    it is None if that has happened already.
    """
    return response.connection and response.connection.protocol


def was_reset(protocol: base_protocol.BaseProtocol | None) -> bool:
    """Returns whether a connection ended with an error.

    aiohttp takes any end of the connection for the end of a response without a
    length; after a reset the error of the connection is one of the system.
    """
    return protocol is not None and isinstance(protocol.exception(), OSError)
