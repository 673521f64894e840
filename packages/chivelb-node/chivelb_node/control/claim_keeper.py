"""Runs a claim keeper on an instance with a data directory."""

import asyncio
from collections.abc import Callable
import pathlib
import secrets
import time
from typing import Any

from chivelb_core import claims
from chivelb_core.claims import keeper as keeper_lib
from chivelb_core.claims import messages as claim_messages
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.storage import journal as journal_lib
from chivelb_node.telemetry import logs

HELLO_PERIOD_S = 1.0
LISTING_TIMEOUT_S = 2.0
RETRY_PERIOD_S = 0.3
CLOCK_MARGIN_S = 0.5
EXPIRE_PERIOD_S = 30.0
# Pause before the files are written again after a write has failed.
DISK_RETRY_S = 1.0
COMPACT_ABOVE_BYTES = 64_000_000
_log = logs.get_logger("keeper")
_journal_record_decoder = msgspec.msgpack.Decoder(keeper_lib.JournalRecord)
_claim_records_decoder = msgspec.msgpack.Decoder(list[keeper_lib.ClaimRecord])


class ClaimKeeperService(mode.Service):
    """A claim keeper; it replies only after its records are synced.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        keeper: State machine of the keeper.
        serving: Whether its stored claims are complete, so that it may grant.
        failure: Reason why it can't serve, or empty.
        disk_id: Id of its stored state; a new one after the state was lost.
            Messages between keepers call it ``life``.
    """

    def __init__(
        self, context: context_lib.InstanceContext, hub: hub_lib.Hub
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        settings = context.settings
        self.keeper = claims.Keeper(
            settings.instance.name, settings.control.claim_ttl_s
        )
        self.serving = False
        self.failure = ""
        self.disk_id = ""
        folder = pathlib.Path(settings.instance.data_dir) / "claims"
        self._identity = folder / "identity"
        self._journal = journal_lib.Journal(folder / "claims.journal")
        self._peers = [
            name
            for name in settings.control.keepers
            if name != settings.instance.name
        ]
        self._compaction_lock = asyncio.Lock()
        # Records of the keeper that are not synced yet, in order.
        self._unsynced: list[keeper_lib.JournalRecord] = []
        self._was_stopped_by_disk = False
        self._started_at = context_lib.monotonic()
        hub.register_handler(claim_messages.ClaimRequest, self._on_claim)
        hub.register_handler(claim_messages.ClaimRelease, self._on_release)
        hub.register_handler(claim_messages.ClaimSettle, self._on_settle)
        hub.register_handler(claim_messages.ListingRequest, self._on_listing)
        hub.register_handler(claim_messages.KeeperHello, self._on_hello)

    async def on_start(self) -> None:
        """Replays the journal."""
        self._journal.path.parent.mkdir(parents=True, exist_ok=True)
        for payload in self._journal.open():
            self.keeper.replay(_journal_record_decoder.decode(payload))
        if self._identity.exists():
            self.disk_id = self._identity.read_text().strip()
            self.serving = True

    async def on_stop(self) -> None:
        """Closes the journal."""
        self.serving = False
        self._journal.close()

    # Recovery of an empty data directory.

    @mode.Service.task
    async def _recover(self) -> None:
        while not self.should_stop and not self.serving:
            if await self._may_begin() and self._write_identity():
                self._start_serving()
                return
            await self.sleep(RETRY_PERIOD_S)

    async def _may_begin(self) -> bool:
        """Returns whether this keeper knows all claims that were granted."""
        if self._identity.exists():
            # Created by an operator, who accepts the loss of claims.
            _log.warning(
                "recovering without claims: "
                "an operator created the identity file"
            )
            return True
        return await self._copy_from_peers()

    def _write_identity(self) -> bool:
        """Writes a new disk id; returns False, and logs, if it can't."""
        disk_id = secrets.token_hex(8)
        try:
            journal_lib.replace_file(self._identity, disk_id.encode())
        except OSError as error:
            self._stop_serving(f"disk: {error}")
            return False
        self.disk_id = disk_id
        return True

    def _start_serving(self) -> None:
        self.failure = ""
        self.serving = True
        _log.info("claim keeper serving", claims=len(self.keeper.records))

    def _stop_serving(self, failure: str) -> None:
        self.serving = False
        if failure != self.failure:
            _log.error("claim keeper stopped", detail=failure)
        self.failure = failure

    def _stop_for_disk(self, error: OSError) -> None:
        """Stops until the records that the disk did not take are synced."""
        if self.serving:
            self._was_stopped_by_disk = True
        self._stop_serving(f"disk: {error}")

    @mode.Service.task
    async def _retry_disk(self) -> None:
        while not self.should_stop:
            await self.sleep(DISK_RETRY_S)
            if self._journal.failure is None:
                continue
            try:
                self._journal.open()
            except (OSError, journal_lib.JournalError) as error:
                self._stop_serving(f"disk: {error}")
                continue
            unsynced, self._unsynced = self._unsynced, []
            if await self._append(unsynced) and self._was_stopped_by_disk:
                self._was_stopped_by_disk = False
                self._start_serving()

    async def _copy_from_peers(self) -> bool:
        """Copies the claims of all other keepers.

        Every majority that included this keeper also included another one,
        so the other keepers together know each claim that was granted.

        Returns:
            False if a keeper did not reply, or if the copy would be unsafe.
        """
        pages = await asyncio.gather(
            *(self._fetch_claims(name) for name in self._peers)
        )
        if any(page is None for page in pages):
            return False
        if (
            any(serving for serving, _, _ in pages)
            and not self._have_earlier_rounds_ended()
        ):
            # A claim round in progress may still count a grant that was lost
            # with the disk. Once the round time-out has passed since the start
            # of this keeper, each such round has ended, and its majority is
            # known to the other keepers.
            return False
        seen_serving = {name for _, names, _ in pages for name in names}
        for name, (serving, _, records) in zip(self._peers, pages, strict=True):
            if not serving and name in seen_serving:
                self.failure = f"claim keeper {name} also lost its data"
                _log.error("claim keeper recovery blocked", detail=self.failure)
                return False
            self.keeper.merge_claims(records)
        self.failure = ""
        return await self._sync()

    def _have_earlier_rounds_ended(self) -> bool:
        waited_s = context_lib.monotonic() - self._started_at
        return waited_s >= claims.ROUND_TIMEOUT_S + CLOCK_MARGIN_S

    async def _fetch_claims(
        self, name: str
    ) -> tuple[bool, list[str], list[keeper_lib.ClaimRecord]] | None:
        records: list[keeper_lib.ClaimRecord] = []
        after = ""
        while True:
            reply = await self.hub.request(
                name,
                claim_messages.ListingRequest(self.keeper.name, after),
                LISTING_TIMEOUT_S,
            )
            if not isinstance(reply, claim_messages.ListingReply):
                return None
            records += _claim_records_decoder.decode(reply.records)
            if not reply.more:
                return reply.serving, reply.witnessed, records
            after = records[-1].key

    def _on_listing(
        self, peer: str, request: claim_messages.ListingRequest
    ) -> claim_messages.ListingReply:
        page, more = self.keeper.list_claims(request.after)
        return claim_messages.ListingReply(
            self.keeper.name,
            self.serving,
            sorted(self.keeper.observed_keepers),
            msgspec.msgpack.encode(page),
            more,
        )

    # Requests from claim clients.

    async def _sync(self) -> bool:
        """Syncs the keeper's records; returns False if the disk refuses.

        Nothing may be answered then that depends on them.
        """
        # Wait for a compaction: it replaces the journal, so records that
        # are appended while it runs would be lost.
        async with self._compaction_lock:
            pass
        return await self._append(self.keeper.take_unsynced_records())

    async def _append(self, records: list[keeper_lib.JournalRecord]) -> bool:
        self._unsynced += records
        try:
            await self._journal.append(
                [msgspec.msgpack.encode(record) for record in records]
            )
        except OSError as error:
            self._stop_for_disk(error)
            return False
        # Appends end in their order.
        del self._unsynced[: len(records)]
        return True

    async def _on_claim(
        self, peer: str, request: claim_messages.ClaimRequest
    ) -> claim_messages.ClaimReply:
        if not self.serving:
            return claim_messages.ClaimReply(
                self.keeper.name, refused=self.failure or "recovering"
            )
        reply = self.keeper.claim(request, time.time())
        if not await self._sync():
            return claim_messages.ClaimReply(
                self.keeper.name, refused=self.failure
            )
        return reply

    async def _on_release(
        self, peer: str, request: claim_messages.ClaimRelease
    ) -> claim_messages.ClaimAck | None:
        return await self._acknowledge(self.keeper.release, request)

    async def _on_settle(
        self, peer: str, request: claim_messages.ClaimSettle
    ) -> claim_messages.ClaimAck | None:
        return await self._acknowledge(self.keeper.settle, request)

    async def _acknowledge(
        self, update: Callable[[Any, float], None], request: Any
    ) -> claim_messages.ClaimAck | None:
        """Updates a claim; acknowledges it once its records are synced."""
        if not self.serving:
            return None
        update(request, time.time())
        if not await self._sync():
            return None
        return claim_messages.ClaimAck(self.keeper.name)

    async def _on_hello(
        self, peer: str, hello: claim_messages.KeeperHello
    ) -> None:
        if hello.keeper != peer or peer not in self._peers:
            return
        if self._journal.failure is not None:
            return
        # ``seen`` and ``seen_life`` are the sequence and the disk id of this
        # keeper as the peer last observed them.
        same_disk = hello.seen_life == self.disk_id
        if (
            same_disk
            and hello.seen > self.keeper.written_records
            and self.serving
        ):
            # The peer has seen more records of this keeper than the disk has.
            self._stop_serving(
                "stored claims were rolled back to older ones; "
                "empty the data directory"
            )
            return
        self.keeper.observe_keeper(peer, hello.life, hello.sequence)
        await self._sync()

    # Periodic tasks.

    @mode.Service.task
    async def _send_hellos(self) -> None:
        while not self.should_stop:
            await self.sleep(HELLO_PERIOD_S)
            if not self.serving:
                continue
            for name in self._peers:
                disk_id, seen = self.keeper.observed_keepers.get(name, ("", 0))
                hello = claim_messages.KeeperHello(
                    self.keeper.name,
                    self.disk_id,
                    self.keeper.written_records,
                    disk_id,
                    seen,
                )
                self.hub.send(name, hello)

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRE_PERIOD_S)
            if not self.serving:
                continue
            self.keeper.expire(time.time())
            if self._journal.size > COMPACT_ABOVE_BYTES:
                await self._compact()

    async def _compact(self) -> None:
        async with self._compaction_lock:
            try:
                await self._journal.append([])
                # The compacted records have them.
                self._unsynced += self.keeper.take_unsynced_records()
                compacted = self.keeper.compacted_records()
                await self._journal.rewrite(
                    [msgspec.msgpack.encode(record) for record in compacted]
                )
            except OSError as error:
                self._stop_for_disk(error)
            else:
                self._unsynced.clear()
