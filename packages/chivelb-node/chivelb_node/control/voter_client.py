"""Submits changes, commands and reads to the voters.

Every instance can submit: a request goes to the known leader first, and to the
other voters in turn while there is no reply from a leader. All requests are
idempotent, so that a request whose reply was lost is simply sent again.
"""

import asyncio
from collections.abc import Callable
import enum
import functools

from chivelb_core import codes
from chivelb_core import document
from chivelb_core.document import results as results_lib
import msgspec

from chivelb_node import context as context_lib
from chivelb_node import hedging
from chivelb_node.control import commands
from chivelb_node.control import voter_service as voter_service_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.wire import messages

CHANGE_TIMEOUT_S = 6.0
REQUEST_TIMEOUT_S = 3.5
RETRY_PERIOD_S = 0.1
# The leader replies once a majority has synced a command, which takes some
# tens of milliseconds.
HEDGE_DELAY_S = 0.5

_result_decoder = msgspec.msgpack.Decoder(results_lib.ChangeResult)


class OrderOutcome(enum.Enum):
    """What is known of an order that was submitted to the voters.

    An order whose outcome is ``UNKNOWN`` may be committed, now or later.
    """

    COMMITTED = "committed"
    SUPERSEDED = "superseded"
    UNKNOWN = "unknown"


class VoterClient:
    """Client of the control group.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        voter_service: Voter of this instance, or None.
    """

    def __init__(
        self, context: context_lib.InstanceContext, hub: hub_lib.Hub
    ) -> None:
        """Creates a client that knows no leader yet."""
        self.context = context
        self.hub = hub
        self.voter_service: voter_service_lib.VoterService | None = None
        self._known_leader = ""

    @property
    def is_leader(self) -> bool:
        """Whether the voter of this instance leads the group."""
        return self.voter_service is not None and self.voter_service.is_leader

    def voters(self) -> list[str]:
        """Returns the names of the configured voters."""
        control = self.context.settings.control
        if control.voters:
            return control.voters
        if self.context.settings.instance.data_dir:
            return [self.context.settings.instance.name]
        return []

    async def submit_change(
        self, change: document.Change
    ) -> results_lib.ChangeResult | codes.ErrorDetail:
        """Submits a change to the voters.

        Changes are idempotent: a change id that is sent again, through any
        instance, gets its first result.

        Args:
            change: The change.

        Returns:
            The result, or an error that says whether the change may still be
            accepted.
        """
        if not self.voters():
            return codes.ErrorDetail(
                codes.NO_QUORUM,
                "neither voters nor a data directory are configured",
            )
        payload = commands.encode(change)
        try:
            commands.check_size(payload)
        except commands.CommandTooLargeError as error:
            return codes.ErrorDetail(codes.CHANGE_TOO_LARGE, str(error))
        request = messages.ChangeRequest(payload)
        uncertain = False

        async def ask(name: str) -> messages.ChangeReply | None:
            nonlocal uncertain
            if not await self.hub.connect(name):
                return None
            reply = await self.hub.request(name, request, REQUEST_TIMEOUT_S)
            if reply is None or reply.appended:
                uncertain = True
            return reply

        deadline = context_lib.monotonic() + CHANGE_TIMEOUT_S
        while context_lib.monotonic() < deadline:
            reply = await self._ask_in_turn(
                ask, accept=lambda reply: bool(reply.payload)
            )
            if reply is not None:
                return _result_decoder.decode(reply.payload)
            await asyncio.sleep(RETRY_PERIOD_S)
        if uncertain:
            return codes.ErrorDetail(codes.CHANGE_UNKNOWN)
        return codes.ErrorDetail(codes.NO_QUORUM)

    async def submit_command(
        self, kind: str, payload: bytes, timeout_s: float
    ) -> bool:
        """Submits an idempotent command to the voters.

        Args:
            kind: Kind of the log entry: ``replace`` or ``weights``.
            payload: The encoded command.
            timeout_s: Seconds after which no further attempt is made.

        Returns:
            True if the command is committed. If False, it may still be
            committed, now or later.

        Raises:
            commands.CommandTooLargeError: No message may hold the command.
        """
        reply = await self._submit_command(
            kind, payload, timeout_s, accept=lambda reply: reply.applied
        )
        return reply is not None

    async def submit_evacuation(
        self, zone: str, *, evacuate: bool, timeout_s: float
    ) -> OrderOutcome:
        """Submits an order to evacuate a zone, or to end that.

        The order names the document version in force here, so that it has no
        effect if it reaches the log after a newer order for the zone.

        Args:
            zone: Name of the availability zone.
            evacuate: True to evacuate the zone, False to end its evacuation.
            timeout_s: Seconds after which no further attempt is made.
        """
        command = commands.EvacuationCommand(
            zone, evacuate, max(self.context.version, 0)
        )
        reply = await self._submit_command(
            commands.EVACUATION_KIND,
            commands.encode(command),
            timeout_s,
            accept=lambda reply: reply.applied or reply.superseded,
        )
        if reply is None:
            return OrderOutcome.UNKNOWN
        if reply.superseded:
            return OrderOutcome.SUPERSEDED
        return OrderOutcome.COMMITTED

    async def _submit_command(
        self,
        kind: str,
        payload: bytes,
        timeout_s: float,
        *,
        accept: Callable[[messages.CommandReply], bool],
    ) -> messages.CommandReply | None:
        """Returns the accepted reply of the leader, or None without one."""
        commands.check_size(payload)
        request = messages.CommandRequest(kind, payload)
        deadline = context_lib.monotonic() + timeout_s
        while (remaining_s := deadline - context_lib.monotonic()) > 0:
            reply = await self._ask_in_turn(
                functools.partial(
                    self.hub.request,
                    body=request,
                    timeout_s=min(REQUEST_TIMEOUT_S, remaining_s),
                ),
                accept=accept,
            )
            if reply is not None:
                return reply
            await asyncio.sleep(RETRY_PERIOD_S)
        return None

    async def read_linearizable_version(self) -> int | None:
        """Returns the version of a linearizable read, or None on failure."""
        reply = await self._ask_in_turn(
            functools.partial(
                self.hub.request,
                body=messages.ReadRequest(),
                timeout_s=REQUEST_TIMEOUT_S,
            ),
            accept=lambda reply: reply.current,
        )
        return None if reply is None else reply.version

    async def _ask_in_turn(
        self, ask: Callable, *, accept: Callable[[object], bool]
    ) -> object | None:
        """Asks the known voters in turn, the leader first.

        Args:
            ask: Sends the request to the voter of a name, and returns its
                reply or None.
            accept: Returns whether a reply is that of the leader.

        Returns:
            The accepted reply, or None if there is none.
        """

        def is_accepted(reply: object | None) -> bool:
            if reply is None:
                return False
            self._known_leader = reply.leader
            return accept(reply)

        return await hedging.first_accepted(
            (
                functools.partial(ask, name)
                for name in self._names_leader_first()
            ),
            delay_s=HEDGE_DELAY_S,
            accept=is_accepted,
        )

    def _names_leader_first(self) -> list[str]:
        """Returns the names of the known voters, the leader's first.

        The leader may be an instance that is not configured as a voter: one
        that joined the group later, as more were added or others replaced.
        """
        names = [self._known_leader]
        if self.voter_service is not None:
            names += self.voter_service.voter_names()
        names += self.voters()
        return list(dict.fromkeys(name for name in names if name))
