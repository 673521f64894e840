"""A voter's part in the leases on the sharing epoch."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from chivelb_core import consensus
from chivelb_core import document
from chivelb_core.document import sharing
from chivelb_core.document import sharing_leases

from chivelb_node import context as context_lib
from chivelb_node.control import log_entries
from chivelb_node.control import voter_agreement
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

QUERY_PERIOD_S = 0.03
QUERY_TIMEOUT_S = 0.3
# Kinds of log entries that may change which workspaces are isolated.
DOCUMENT_KINDS = frozenset({"change", "replace"})
_log = logs.get_logger("sharing")


class SharingGrantor:
    """Grants sharing leases, and knows when those of older epochs have ended.

    Attributes:
        hub: Links to peers.
        get_voter: Returns the voter, or None while it does not run.
        get_state: Returns the document state that entries are applied to.
        grants: The leases granted since the voter started.
        applied_index: Index of the newest log entry in the document state.
    """

    def __init__(
        self,
        hub: hub_lib.Hub,
        *,
        get_voter: Callable[[], consensus.Voter | None],
        get_state: Callable[[], document.DocumentState],
    ) -> None:
        """Creates the object; ``reset`` is called when the voter starts."""
        self.hub = hub
        self.get_voter = get_voter
        self.get_state = get_state
        self._pending_key: tuple[int, int, int] | None = None
        self._is_change_pending = False
        self.reset(0)
        hub.register_handler(messages.SharingLeaseRequest, self._on_request)
        hub.register_handler(messages.SharingEndRequest, self._on_end_request)

    def reset(self, index: int) -> None:
        """Starts anew: the leases granted before are not known.

        Args:
            index: Index of the newest log entry in the document state.
        """
        now = context_lib.boottime()
        self.applied_index = index
        self.grants = sharing_leases.LeaseGrants(now)
        state = self.get_state()
        if state.sharing_epoch:
            self.grants.record_change(state.version, now)

    def record_applied(self, index: int, epoch_before: str) -> None:
        """Records that the document state has changed.

        Args:
            index: Index of the newest log entry in it.
            epoch_before: Sharing epoch before the change; empty for none.
        """
        self.applied_index = index
        state = self.get_state()
        if epoch_before and state.sharing_epoch != epoch_before:
            self.grants.record_change(state.version, context_lib.boottime())

    def _on_request(
        self, peer: str, request: messages.SharingLeaseRequest
    ) -> messages.VoterAgreement:
        now = context_lib.boottime()
        voter = self.get_voter()
        granted = voter is not None and self._may_grant(voter, request.version)
        self.grants.record_request(peer, request.version, now, granted=granted)
        return self._agreement(voter, granted, now)

    def _may_grant(self, voter: consensus.Voter, version: int) -> bool:
        epoch = self.get_state().sharing_epoch
        if voter.disowned or not epoch or self._changes_isolation(voter):
            return False
        first_version = max(
            sharing.epoch_version(epoch), self.grants.min_version
        )
        return version >= first_version

    def _changes_isolation(self, voter: consensus.Voter) -> bool:
        """Returns whether entries that are not applied begin a new epoch."""
        log = voter.log
        if self.applied_index < log.base_index:
            # A snapshot is being installed.
            return True
        key = (self.applied_index, log.last_index, log.last_term)
        if key != self._pending_key:
            pending = log.slice(self.applied_index + 1, log.last_index)
            self._is_change_pending = _begins_epoch(self.get_state(), pending)
            self._pending_key = key
        return self._is_change_pending

    def _on_end_request(
        self, peer: str, request: messages.SharingEndRequest
    ) -> messages.VoterAgreement:
        now = context_lib.boottime()
        voter = self.get_voter()
        if voter is not None:
            self.grants.observe_voters(voter.group.voters, now)
        ended = self.grants.end_before(request.version, now)
        return self._agreement(voter, ended, now)

    def _agreement(
        self, voter: consensus.Voter | None, agreed: bool, now: float
    ) -> messages.VoterAgreement:
        if voter is None:
            return messages.VoterAgreement(False, "", [])
        voters = voter.group.voters
        self.grants.observe_voters(voters, now)
        return messages.VoterAgreement(agreed, voter.member_id, sorted(voters))

    async def wait_until_ended(self, version: int) -> None:
        """Waits until no lease of an older sharing epoch is left.

        Args:
            version: Document version. The wait ends at once if no change of
                isolation up to it was applied lately.
        """
        started_at = context_lib.boottime()
        is_waiting = False
        while not self.grants.have_expired(version, context_lib.boottime()):
            is_waiting = True
            if await self._have_ended(version):
                break
            await asyncio.sleep(QUERY_PERIOD_S)
        if is_waiting:
            waited_s = context_lib.boottime() - started_at
            _log.info(
                "older sharing epochs ended",
                version=version,
                waited_ms=round(waited_s * 1000),
            )

    async def _have_ended(self, version: int) -> bool:
        voter = self.get_voter()
        if voter is None:
            return False
        members = voter.group.members
        names = [members[voter_id].name for voter_id in voter.group.voters]
        return await voter_agreement.has_majority(
            self.hub,
            names,
            messages.SharingEndRequest(version),
            QUERY_TIMEOUT_S,
        )


def _begins_epoch(
    state: document.DocumentState, entries: Iterable[consensus.Entry]
) -> bool:
    """Returns whether log entries begin a new sharing epoch once applied."""
    changes = [entry for entry in entries if entry.kind in DOCUMENT_KINDS]
    if not changes:
        return False
    later_state = state.copy()
    for entry in changes:
        log_entries.apply_entry(later_state, entry)
    return later_state.sharing_epoch != state.sharing_epoch
