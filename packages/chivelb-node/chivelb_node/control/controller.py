"""The controller lease, held by at most one instance, which has a voter.

The controller sends orders to load weights to runners.
"""

import secrets

from chivelb_core import rollout

from chivelb_node import context as context_lib
from chivelb_node.control import commands
from chivelb_node.control import voter_service as voter_service_lib

LEASE_NAME = "controller"


class ControllerLeaseHolder:
    """Acquires and renews the lease that allows sending orders to runners.

    Attributes:
        voter_service: Voter of this instance.
        lease: State of the lease as known to this instance.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        voter_service: voter_service_lib.VoterService,
        timing: rollout.LeaseTiming | None = None,
    ) -> None:
        """Creates an object that does not hold the lease."""
        self.voter_service = voter_service
        self.lease = rollout.ControllerLease(
            f"{context.settings.instance.name}/{secrets.token_hex(4)}",
            context_lib.boottime(),
            timing,
        )

    @property
    def token(self) -> int:
        """Fencing token to send with orders."""
        return self.lease.token

    def apply_grant(self) -> None:
        """Applies the newest grant in the replicated log."""
        holder, token = self.voter_service.document_state.leases.get(
            LEASE_NAME, ("", 0)
        )
        now = context_lib.boottime()
        self.lease.observe(holder.rpartition("#")[0], token, now)

    def may_send_orders(self) -> bool:
        """Returns whether an order may be sent now."""
        return self.lease.may_send_orders(context_lib.boottime())

    async def acquire_or_renew(self) -> bool:
        """Acquires or renews the lease when due; returns whether it is held."""
        if not self.voter_service.is_leader:
            return False
        requested_at = context_lib.boottime()
        if self.lease.may_request(requested_at):
            await self._request_lease(requested_at)
        return self.may_send_orders()

    async def _request_lease(self, requested_at: float) -> None:
        # The holder in the command is unique per request, so that a renewal is
        # not taken for a resend of the previous request. ``candidate_id`` is
        # the id of this candidate for the lease, not for a Raft election.
        command = commands.LeaseCommand(
            LEASE_NAME,
            f"{self.lease.candidate_id}#{secrets.token_hex(4)}",
            self.lease.token,
        )
        _, token = await self.voter_service.propose(
            "lease", commands.encode(command)
        )
        if token:
            self.lease.record_grant(token, requested_at)
