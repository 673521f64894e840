"""Ownership of the stores' block tables.

Each table is owned by one instance of the store's zone.
"""

import asyncio
import dataclasses

import aiohttp
from chivelb_core import targets
from chivelb_core.kv_cache import messages as kv_cache_messages
from chivelb_core.kv_cache import reuse as reuse_lib
from chivelb_core.kv_cache import store_table as store_table_lib
from chivelb_core.routing import policies
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import stores
from chivelb_node.telemetry import logs

RENEWAL_PERIOD_S = 0.5
# Time after the last renewal for which this instance acts as the owner.
OWNERSHIP_LEASE_S = 2.0
_log = logs.get_logger("stores")


def find_owner(gossip: gossip_lib.Gossip, record: targets.TargetRecord) -> str:
    """Returns the instance that should own a store's block table, or empty.

    Args:
        gossip: Membership.
        record: The store.
    """
    members = gossip.zone_members(record.zone)
    return max(
        members,
        key=lambda name: policies.rendezvous_weight(record.identity, name),
        default="",
    )


@dataclasses.dataclass(slots=True)
class OwnedStore:
    """A store whose block table this instance owns.

    Attributes:
        token: Fencing token of the ownership.
        incarnation: Incarnation of the store.
        table: The block table.
        renewed_at: Monotonic time of the last renewal, in seconds.
    """

    token: int
    incarnation: int
    table: store_table_lib.StoreTable
    renewed_at: float


class StoreOwnerService(mode.Service):
    """Owns the block tables of the stores assigned to this instance.

    Attributes:
        context: Shared state of the instance.
        gossip: Membership.
        session: Client session for targets.
        reuse_model: Model of prompt reuse, which ranks blocks for eviction.
        owned: Owned stores by identity.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        session: aiohttp.ClientSession,
        reuse_model: reuse_lib.ReuseModel,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.gossip = gossip
        self.session = session
        self.reuse_model = reuse_model
        self.owned: dict[str, OwnedStore] = {}
        self._local_name = hub.local_name
        hub.register_handler(kv_cache_messages.LeaseBlocks, self._on_lease)
        hub.register_handler(kv_cache_messages.ReleaseBlocks, self._on_release)
        hub.register_handler(kv_cache_messages.ReserveBlocks, self._on_reserve)
        hub.register_handler(kv_cache_messages.SealBlocks, self._on_seal)
        hub.register_handler(kv_cache_messages.TouchBlocks, self._on_touch)

    @mode.Service.task
    async def _renew_ownerships(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RENEWAL_PERIOD_S)
            now = context_lib.monotonic()
            for entry in list(self.context.targets.entries.values()):
                record = entry.record
                if record.role != "store" or entry.expires_at < now:
                    continue
                if find_owner(self.gossip, record) == self._local_name:
                    await self._renew_ownership(record)
                else:
                    self.owned.pop(record.identity, None)

    async def _renew_ownership(self, record: targets.TargetRecord) -> None:
        identity = record.identity
        owned = self.owned.get(identity)
        if owned is not None and owned.incarnation != record.incarnation:
            owned = None
        token = owned.token if owned is not None else 0
        reply = await stores.acquire_ownership(
            self.session, record.address, self._local_name, token
        )
        now = context_lib.monotonic()
        if reply is None or not reply.token:
            self.owned.pop(identity, None)
            return
        if owned is None or reply.token != owned.token:
            scorer = store_table_lib.make_value_scorer(
                self.reuse_model.reuse_probability
            )
            if self.context.document.limits.keeping == "recency":
                scorer = store_table_lib.score_by_recency
            # Readers may still hold block leases from an earlier owner, so no
            # block is freed before the longest of them has expired.
            table = store_table_lib.StoreTable(
                reply.capacity,
                scorer,
                now=now,
                frees_allowed_at=now + store_table_lib.LEASE_S,
            )
            table.rebuild(reply.refs, reply.generation, now)
            owned = OwnedStore(reply.token, record.incarnation, table, now)
            self.owned[identity] = owned
            _log.info(
                "store ownership acquired",
                store=identity,
                token=reply.token,
            )
        owned.renewed_at = now
        owned.table.expire(now)
        owned.table.free_to_low_watermark(now)
        await self._free_blocks(record, owned)

    async def _free_blocks(
        self, record: targets.TargetRecord, owned: OwnedStore
    ) -> None:
        blocks = list(owned.table.freeing)
        if not blocks:
            return
        if await stores.free_blocks(
            self.session, record.address, owned.token, blocks
        ):
            for key, generation in blocks:
                owned.table.confirm_freed(key, generation)

    def _owned_table(self, store: str) -> store_table_lib.StoreTable | None:
        owned = self.owned.get(store)
        if owned is None:
            return None
        if context_lib.monotonic() - owned.renewed_at > OWNERSHIP_LEASE_S:
            return None
        return owned.table

    def _on_lease(
        self, peer: str, request: kv_cache_messages.LeaseBlocks
    ) -> kv_cache_messages.BlockRefs:
        table = self._owned_table(request.store)
        refs = []
        if table is not None:
            refs = table.lease(request, context_lib.monotonic())
        return kv_cache_messages.BlockRefs(refs)

    def _on_release(
        self, peer: str, request: kv_cache_messages.ReleaseBlocks
    ) -> None:
        table = self._owned_table(request.store)
        if table is not None:
            table.release(request.reader)

    def _on_reserve(
        self, peer: str, request: kv_cache_messages.ReserveBlocks
    ) -> kv_cache_messages.BlockRefs:
        table = self._owned_table(request.store)
        refs = []
        if table is not None:
            refs = table.reserve(request, context_lib.monotonic())
        return kv_cache_messages.BlockRefs(refs)

    def _on_touch(
        self, peer: str, request: kv_cache_messages.TouchBlocks
    ) -> None:
        table = self._owned_table(request.store)
        if table is not None:
            table.touch(request, context_lib.monotonic())

    def _on_seal(
        self, peer: str, request: kv_cache_messages.SealBlocks
    ) -> None:
        table = self._owned_table(request.store)
        if table is not None:
            for ref in request.refs:
                table.seal(ref.key, ref.generation, ref.checksum)
