"""Sends attempts to targets directly or, where there is no way, by a peer."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core.calls import attempt as attempt_lib
from chivelb_core.forwarding import relay_peers

from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import relay_channel
from chivelb_node.telemetry import logs
from chivelb_node.wire import codec
from chivelb_node.wire import relay_messages

# Peers that are asked to make one attempt, one after the other.
MAX_PEERS_ASKED = 3
# Time for which a target that none of them reached is not sent to through
# peers: it has probably stopped. This instance goes on to check it by itself.
NO_PATH_RETRY_S = 5.0
_log = logs.get_logger("paths")


class TargetPaths:
    """Sends attempts on the paths that lead to targets.

    Implements ``ports.TargetPort``. A peer makes one attempt with a connection
    of its own to the target that this instance has chosen; all else (retries,
    the retry budget, what the caller has received) stays here.

    Attributes:
        context: Shared state of the instance.
        direct: Sends requests to targets that this instance reaches.
        open_channel: Opens a channel to a peer, or returns None.
        peers_by_zone: Returns the names of the live entry instances but this
            one, by zone, the nearest zone first.
        peers: What is known of these as senders of requests.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        direct: ports.TargetPort,
        *,
        open_channel: Callable[[str], Any],
        peers_by_zone: Callable[[], Sequence[Sequence[str]]],
    ) -> None:
        """Creates the paths."""
        self.context = context
        self.direct = direct
        self.open_channel = open_channel
        self.peers_by_zone = peers_by_zone
        self.peers = relay_peers.RelayPeers()

    async def send(
        self,
        call: forwarding.Call,
        message: ports.Message,
        assignment: ports.Assignment,
    ) -> ports.Reply:
        """Sends a request and waits for the head of the response.

        Raises:
            calls.AttemptError: There is no usable response; the outcome tells
                whether the target executed the request.
        """
        record = assignment.record
        now = context_lib.monotonic()
        if not self.context.is_unreachable(record, now):
            return await self._send_directly(call, message, assignment)
        names = self._peers_in_order(call.service, now)
        if not names:
            return await self._send_directly(call, message, assignment)
        if not self.context.targets.has_path(record.identity, now):
            raise _no_path("no path, and none through peers before")
        asked = names[:MAX_PEERS_ASKED]
        unreached = 0
        for peer in asked:
            answer = await self._send_through(peer, call, message, assignment)
            if not isinstance(answer, relay_messages.RelayRefusal):
                return answer
            unreached += answer.reason == relay_messages.NO_PATH
        if unreached == len(asked):
            self._record_no_path(record.identity)
        raise _no_path(f"no path, and none through {asked}")

    def _record_no_path(self, identity: str) -> None:
        """Records that no peer that was asked reached a target either."""
        until = context_lib.monotonic() + NO_PATH_RETRY_S
        self.context.targets.record_no_path(identity, until)
        _log.info(
            "target unreachable for peers too",
            target=identity,
            retry_s=NO_PATH_RETRY_S,
        )

    async def _send_directly(
        self,
        call: forwarding.Call,
        message: ports.Message,
        assignment: ports.Assignment,
    ) -> ports.Reply:
        record = assignment.record
        reach = self.context.reach
        try:
            reply = await self.direct.send(call, message, assignment)
        except calls.AttemptError as error:
            if error.outcome.code is codes.TARGET_UNREACHABLE:
                now = context_lib.monotonic()
                reach.record_failure(record.service, record.identity, now)
            raise
        now = context_lib.monotonic()
        reach.record_reached(record.service, record.identity, now)
        return reply

    def _peers_in_order(self, service: str, now: float) -> list[str]:
        zones = self.peers_by_zone()
        self.peers.remove_missing({name for names in zones for name in names})
        return list(self.peers.in_order(zones, service, now, self.context.rng))

    async def _send_through(
        self,
        peer: str,
        call: forwarding.Call,
        message: ports.Message,
        assignment: ports.Assignment,
    ) -> ports.Reply | relay_messages.RelayRefusal:
        """Lets a peer make an attempt.

        Returns:
            The reply of the target, or the refusal of a peer that has sent
            nothing, so that another one may be asked.

        Raises:
            calls.AttemptError: The attempt has ended.
        """
        state = self.peers.state(peer)
        state.in_progress += 1
        is_replied = False
        channel = None
        try:
            channel = await self.open_channel(peer)
            answer = await self._exchange(channel, call, message, assignment)
            is_replied = isinstance(answer, relay_messages.RelayHead)
        finally:
            if not is_replied:
                state.in_progress -= 1
                if channel is not None:
                    channel.close()
        if is_replied:
            return relay_channel.RelayedReply(
                channel, answer, lambda: _end_exchange(state)
            )
        self._record_answer(peer, call, assignment, answer)
        if isinstance(answer, relay_messages.RelayRefusal):
            return answer
        raise relay_channel.failure(peer, answer)

    async def _exchange(
        self,
        channel: relay_channel.ChannelPort | None,
        call: forwarding.Call,
        message: ports.Message,
        assignment: ports.Assignment,
    ) -> Any | None:
        """Sends the request to a peer and returns the first answer."""
        if channel is None:
            return relay_messages.RelayRefusal("no channel", "all")
        try:
            await relay_channel.send_request(channel, call, message, assignment)
        except codec.WireError as error:
            return relay_messages.RelayRefusal(str(error), "target")
        except OSError:
            # The peer may have received the request.
            return None
        return await channel.receive()

    def _record_answer(
        self,
        peer: str,
        call: forwarding.Call,
        assignment: ports.Assignment,
        answer: Any | None,
    ) -> None:
        now = context_lib.monotonic()
        reason = ""
        match answer:
            case None | relay_messages.RelayRefusal(scope="all"):
                self.peers.record_refusal(peer, now)
            case relay_messages.RelayRefusal(scope="service"):
                self.peers.record_unreaching(peer, call.service, now)
        if isinstance(answer, relay_messages.RelayRefusal):
            reason = answer.reason
        _log.info(
            "relay failed",
            request_id=call.request_id,
            peer=peer,
            target=assignment.record.identity,
            answer=type(answer).__name__,
            reason=reason,
        )
        self.context.metrics.relayed.labels("out", "failed").inc()


def _no_path(detail: str) -> calls.AttemptError:
    """Returns the error of an attempt that nobody can make."""
    return calls.AttemptError(
        attempt_lib.Outcome(
            calls.OutcomeKind.NOT_RUN, codes.TARGET_UNREACHABLE, detail, True
        )
    )


def _end_exchange(state: relay_peers.PeerState) -> None:
    state.in_progress -= 1
