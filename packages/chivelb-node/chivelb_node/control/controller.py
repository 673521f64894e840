"""The controller's seat: the lease that one voter's instance holds."""

import secrets

from chivelb_core import rollout

from chivelb_node import context as context_lib
from chivelb_node.control import commands
from chivelb_node.control import voting as voting_lib

LEASE_NAME = "controller"


class ControllerSeat:
    """This instance's part in who gives orders to runners.

    Attributes:
        voting: This instance's voter.
        lease: The lease as this instance sees it.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        voting: voting_lib.VotingService,
        timing: rollout.LeaseTiming | None = None,
    ) -> None:
        """Creates a seat that is not held."""
        self.voting = voting
        self.lease = rollout.ControllerLease(
            f"{context.settings.instance.name}/{secrets.token_hex(4)}",
            context_lib.boottime(),
            timing,
        )

    @property
    def token(self) -> int:
        """Fencing token for orders."""
        return self.lease.token

    def observe(self) -> None:
        """Takes the newest grant that the log shows."""
        holder, token = self.voting.machine.leases.get(LEASE_NAME, ("", 0))
        now = context_lib.boottime()
        self.lease.observe(holder.rpartition("#")[0], token, now)

    def may_order(self) -> bool:
        """Tells whether an order may be sent at this moment."""
        return self.lease.may_order(context_lib.boottime())

    async def hold(self) -> bool:
        """Asks for the lease or renews it; tells whether it is held."""
        if not self.voting.is_leader:
            return False
        asked_at = context_lib.boottime()
        if self.lease.may_ask(asked_at):
            await self._ask(asked_at)
        return self.may_order()

    async def _ask(self, asked_at: float) -> None:
        # Each grant has a holder of its own, so that a renewal is told
        # from a resend.
        command = commands.LeaseCommand(
            LEASE_NAME,
            f"{self.lease.me}#{secrets.token_hex(4)}",
            self.lease.token,
        )
        _, token = await self.voting.propose("lease", commands.encode(command))
        if token:
            self.lease.note_granted(token, asked_at)
