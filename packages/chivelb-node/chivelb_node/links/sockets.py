"""State and end of TCP connections, beyond what asyncio offers."""

import asyncio
import contextlib
import select
import socket
import struct

# Value of SO_LINGER: on, with a time of 0 s.
_NO_LINGER_OPTION = struct.pack("ii", 1, 0)
MS_PER_S = 1_000
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def set_keepalive(
    sock: socket.socket,
    *,
    idle_s: int,
    interval_s: int,
    probes: int,
    user_timeout_ms: int,
) -> None:
    """Sets socket options so that the kernel closes dead connections.

    Args:
        sock: Socket of the connection.
        idle_s: Time without received bytes before the first probe, in seconds.
        interval_s: Time between probes, in seconds.
        probes: Number of probes without a reply after which it closes.
        user_timeout_ms: Time after which it closes if sent bytes stay
            unacknowledged, in milliseconds.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def set_user_timeout(transport: asyncio.Transport, timeout_s: float) -> None:
    """Has the kernel close a connection whose peer takes no more bytes.

    Args:
        transport: Transport of the connection; other ones than those of TCP
            stay as they are.
        timeout_s: Time without an acknowledgement of sent bytes, or without
            room at the peer for more, in seconds.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(timeout_s * MS_PER_S),
        )


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a reset.

    The kernel drops what it has not sent yet, and the peer can tell the end
    from that of a complete response.
    """
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER_OPTION
            )
    transport.abort()


def is_closed_by_peer(transport: asyncio.Transport | None) -> bool:
    """Returns whether a peer has closed or reset its connection.

    The kernel is asked, so that it is known before the event loop has read the
    close, and while reading is paused.

    Args:
        transport: Transport of the connection; None if it is closed.
    """
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), select.POLLRDHUP)
    return any(events & _CLOSED_EVENTS for _, events in poll.poll(0))


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Returns whether there are bytes, or a close, that are not read yet.

    Args:
        transport: Transport of an open connection.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), select.POLLIN)
    return bool(poll.poll(0))
