"""Directory of cached blocks, and transfers of blocks to and from stores.

A block is 64 tokens of KV cache under one key, in a runner that this project
drives or in a store. ``part_events`` follows a separate directory of prompt
parts.
"""

import asyncio
import collections
import dataclasses

import aiohttp
from chivelb_core import kv_cache
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.kv_cache import directory as directory_lib
from chivelb_core.kv_cache import keys as keys_lib
from chivelb_core.kv_cache import messages as kv_cache_messages
from chivelb_core.kv_cache import reuse as reuse_lib
from chivelb_core.routing import cost as cost_lib
from chivelb_core.routing import policies
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import parsing
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import runners
from chivelb_node.links import store_owner
from chivelb_node.links import stores
from chivelb_node.telemetry import logs

LOOKUP_TIMEOUT_S = 0.03
LEASE_TIMEOUT_S = 0.1
RESERVE_TIMEOUT_S = 0.5
EXPECTED_TTL_S = 3.0
MAX_EXPECTED_KEYS = 5_000
MAX_CONCURRENT_EXPORTS = 4
MIN_EXPORT_BLOCKS = 2
_log = logs.get_logger("cache")


@dataclasses.dataclass(slots=True)
class LeasedBlocks:
    """Leased blocks that an attempt loads from a store.

    Attributes:
        store: Identity of the store; empty for none.
        address: Address of the store.
        reader: Id of the attempt, which holds the leases.
        refs: References to the blocks.
    """

    store: str = ""
    address: str = ""
    reader: str = ""
    refs: list[kv_cache_messages.BlockRef] = dataclasses.field(
        default_factory=list
    )


class CacheService(mode.Service):
    """Serves the block directory; transfers blocks between runners and stores.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        session: Client session for targets.
        reuse_model: Model of prompt reuse for this instance's shard.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        session: aiohttp.ClientSession,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.session = session
        self.reuse_model = reuse_lib.ReuseModel()
        self._expected: collections.OrderedDict[str, dict] = (
            collections.OrderedDict()
        )
        self._export_slots = asyncio.Semaphore(MAX_CONCURRENT_EXPORTS)
        self._keys_being_exported: set[str] = set()
        hub.register_handler(
            kv_cache_messages.CacheUpdates, self._on_cache_events
        )
        hub.register_handler(kv_cache_messages.CacheListing, self._on_listing)
        hub.register_handler(kv_cache_messages.Lookup, self._on_lookup)

    # Directory.

    def shard_owner(self, key: str) -> str:
        """Returns the instance that owns the directory shard of a prompt.

        Args:
            key: Anchor key of the prompt: the key of its 8th block, which
                selects its directory shard and store.
        """
        members = self.gossip.region_members()
        if len(members) == 1:
            return members[0]
        return max(
            members, key=lambda name: policies.rendezvous_weight(key, name)
        )

    async def look_up_holdings(self, call: parsing.ModelCall) -> None:
        """Looks up which targets hold blocks of a call's prompt.

        Each lookup has a timeout of ``LOOKUP_TIMEOUT_S``.

        Args:
            call: The call; its holdings and reuse probability are filled in.
        """
        call.holdings = {}
        for version in self._versions_in_use(call):
            keys = call.keys(version)
            if not keys:
                continue
            # The first 16 of the salt's 32 hex digits identify the
            # workspace and the service.
            lookup = kv_cache_messages.Lookup(keys, call.salt[:16])
            owner = self.shard_owner(kv_cache.anchor_key(keys))
            if owner == self.hub.local_name:
                reply = self._on_lookup(owner, lookup)
            else:
                reply = await self.hub.request(owner, lookup, LOOKUP_TIMEOUT_S)
            if isinstance(reply, kv_cache_messages.LookupReply):
                call.reuse_probability = reply.chance
                for holding in reply.holdings:
                    call.holdings[holding.identity] = holding.blocks
            self._add_expected_holdings(call, keys)

    def _versions_in_use(self, call: parsing.ModelCall) -> list[str]:
        now = context_lib.monotonic()
        in_use = {
            record.weight_version
            for record in self.context.targets.eligible(call.service, now)
        }
        return [version for version in call.versions if version in in_use]

    def _add_expected_holdings(
        self, call: parsing.ModelCall, keys: list[str]
    ) -> None:
        """Adds the blocks that recent dispatches are expected to cache."""
        now = context_lib.monotonic()
        for position in range(len(keys), 0, -1):
            expected = self._expected.get(keys[position - 1])
            if expected is None:
                continue
            for identity, expires_at in expected.items():
                if (
                    expires_at > now
                    and call.holdings.get(identity, 0) < position
                ):
                    call.holdings[identity] = position
            return

    def record_dispatch(self, call: parsing.ModelCall, identity: str) -> None:
        """Records that a target is expected to hold a prompt's blocks."""
        version = self.context.targets.entries[identity].record.weight_version
        keys = call.keys(version)
        if not keys:
            return
        expires_at = context_lib.monotonic() + EXPECTED_TTL_S
        for key in {keys[-1], keys[len(keys) // 2], keys[0]}:
            self._expected.setdefault(key, {})[identity] = expires_at
            self._expected.move_to_end(key)
        while len(self._expected) > MAX_EXPECTED_KEYS:
            self._expected.popitem(last=False)

    def _on_lookup(
        self, peer: str, lookup: kv_cache_messages.Lookup
    ) -> kv_cache_messages.LookupReply:
        now = context_lib.monotonic()
        if lookup.keys:
            # Each lookup counts as one visit of the prompt.
            self.reuse_model.visit(lookup.workspace, lookup.keys, now)
        blocks_by_target = self.context.directory.lookup(lookup.keys)
        holdings = [
            kv_cache_messages.Holding(identity, blocks)
            for identity, blocks in blocks_by_target.items()
        ]
        reuse_probability = self.reuse_model.reuse_probability(lookup.workspace)
        return kv_cache_messages.LookupReply(holdings, reuse_probability)

    def forward_events(
        self,
        identity: str,
        incarnation: int,
        events: list[directory_lib.CacheEvent],
    ) -> None:
        """Forwards a target's events to the shards of their prompts."""
        by_owner: dict[str, list[directory_lib.CacheEvent]] = {}
        for event in events:
            by_owner.setdefault(self.shard_owner(event.anchor), []).append(
                event
            )
        for owner, owned in by_owner.items():
            self._send_to(
                owner,
                kv_cache_messages.CacheUpdates(identity, incarnation, owned),
            )

    def _on_cache_events(
        self, peer: str, message: kv_cache_messages.CacheUpdates
    ) -> None:
        self.context.directory.apply_events(
            message.identity, message.incarnation, message.events
        )

    def forward_listing(
        self, identity: str, incarnation: int, listing: directory_lib.Listing
    ) -> None:
        """Forwards a target's listing to all shards, to each its own keys."""
        by_owner: dict[str, list[str]] = {
            name: [] for name in self.gossip.region_members()
        }
        for prompt in listing.prompts:
            by_owner[self.shard_owner(prompt.anchor)] += prompt.keys
        for owner, keys in by_owner.items():
            self._send_to(
                owner,
                kv_cache_messages.CacheListing(identity, incarnation, keys),
            )

    def _on_listing(
        self, peer: str, listing: kv_cache_messages.CacheListing
    ) -> None:
        self.context.directory.apply_listing(
            listing.identity, listing.incarnation, listing.keys
        )

    # Imports: transfers of blocks from stores to runners.

    def best_store(
        self, call: parsing.ModelCall, record: targets.TargetRecord
    ) -> tuple[str, int, float, float]:
        """Returns the store that holds the longest prefix of a prompt.

        Args:
            call: The call.
            record: The runner that would load the blocks.

        Returns:
            Identity of the store, number of leading blocks, transfer rate
            in bytes per second, and wait for queued transfers in seconds;
            an empty identity for none.
        """
        now = context_lib.monotonic()
        best = ("", 0, 1.0, 0.0)
        for identity, blocks in call.holdings.items():
            entry = self.context.targets.entries.get(identity)
            if entry is None or entry.record.role != "store":
                continue
            if not self.context.targets.is_eligible(identity, now):
                continue
            if not self.context.allows_zone(call.regions, entry.record.zone):
                continue
            rate = min(entry.record.link_rate, record.link_rate)
            # A store reports the bytes queued for its link as pending tokens.
            wait = entry.record.pending_tokens / entry.record.link_rate
            if blocks > best[1] or (blocks == best[1] and wait < best[3]):
                best = (identity, blocks, rate, wait)
        return best

    async def lease_blocks(
        self, call: parsing.ModelCall, grant, reader: str
    ) -> LeasedBlocks:
        """Leases the blocks that a runner is to load from a store.

        Args:
            call: The call.
            grant: The permission to dispatch the call
                (``edge.dispatch.Grant``), with the chosen runner and the
                number of tokens to import.
            reader: Id of the attempt, which holds the leases.

        Returns:
            The leased blocks; none if the store or its owner is unreachable,
            so that the runner recomputes them.
        """
        choice: routing.Choice = grant.choice
        if not choice.fetch_tokens:
            return LeasedBlocks()
        identity, blocks, _, _ = self.best_store(call, grant.record)
        entry = self.context.targets.entries.get(identity)
        if entry is None:
            return LeasedBlocks()
        keys = call.keys(grant.record.weight_version)[:blocks]
        reply = await self.hub.request(
            store_owner.find_owner(self.gossip, entry.record),
            kv_cache_messages.LeaseBlocks(identity, reader, keys),
            LEASE_TIMEOUT_S,
        )
        refs = []
        if isinstance(reply, kv_cache_messages.BlockRefs):
            blocks_held = call.holdings.get(grant.record.identity, 0)
            refs = reply.refs[blocks_held:]
        metrics = self.context.metrics
        size = sum(ref.length for ref in refs)
        metrics.link_bytes.labels("import").inc(size)
        metrics.series(call.workspace, call.class_name).link_seconds.observe(
            size / grant.record.link_rate
        )
        return LeasedBlocks(identity, entry.record.address, reader, refs)

    def release_blocks(self, leased_blocks: LeasedBlocks) -> None:
        """Releases the leases of an attempt."""
        entry = self.context.targets.entries.get(leased_blocks.store)
        if entry is None:
            return
        body = kv_cache_messages.ReleaseBlocks(
            leased_blocks.store, leased_blocks.reader
        )
        self._send_to(store_owner.find_owner(self.gossip, entry.record), body)

    def _send_to(self, peer: str, body) -> None:
        if peer == self.hub.local_name:
            self.add_future(self.hub.request(peer, body, LEASE_TIMEOUT_S))
        else:
            self.hub.send(peer, body)

    # Exports: transfers of blocks from runners to stores.

    def export_if_worthwhile(
        self, call: parsing.ModelCall, record: targets.TargetRecord
    ) -> None:
        """Exports a finished prompt's blocks to a store if that pays off.

        The blocks are exported if the expected saving, with the cost weights
        of the service's goal, exceeds the cost of the transfer time to write
        and read them. The retention policy ``none`` (``limits.keeping`` of
        the active configuration document) disables exports. Runners in
        evacuated availability zones export nothing.
        """
        if record.zone in self.context.targets.evacuated_zones:
            return
        if self.context.document.limits.keeping == "none":
            return
        keys = call.keys(record.weight_version)
        if (
            len(keys) < MIN_EXPORT_BLOCKS
            or keys[-1] in self._keys_being_exported
        ):
            return
        store = self._choose_store(kv_cache.anchor_key(keys), call.regions)
        if store is None:
            return
        service = self.context.document.services[call.service]
        weights = cost_lib.GOAL_WEIGHTS[service.goal]
        block_bytes = keys_lib.BLOCK_TOKENS * record.bytes_per_token
        recompute_s = keys_lib.BLOCK_TOKENS / record.prefill_rate
        transfer_s = block_bytes / min(record.link_rate, store.link_rate)
        saving_weight = weights.first_token + weights.recompute
        benefit = call.reuse_probability * recompute_s * saving_weight
        cost = weights.link * transfer_s * (1 + call.reuse_probability)
        benefit -= call.reuse_probability * transfer_s * weights.first_token
        if benefit <= cost:
            return
        saved_s_per_byte = recompute_s / block_bytes
        self._keys_being_exported.add(keys[-1])
        self.add_future(
            self._export(
                call, record, store, keys, block_bytes, saved_s_per_byte
            )
        )

    def _choose_store(
        self, anchor_key: str, regions: frozenset[str] | None
    ) -> targets.TargetRecord | None:
        now = context_lib.monotonic()
        candidates = [
            entry.record
            for identity, entry in self.context.targets.entries.items()
            if entry.record.role == "store"
            and self.context.targets.is_eligible(identity, now)
            and self.context.allows_zone(regions, entry.record.zone)
        ]
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda record: policies.rendezvous_weight(
                anchor_key, record.identity
            ),
        )

    async def _export(
        self,
        call: parsing.ModelCall,
        record: targets.TargetRecord,
        store: targets.TargetRecord,
        keys: list[str],
        block_bytes: int,
        saved_s_per_byte: float,
    ) -> None:
        try:
            async with self._export_slots:
                owner = store_owner.find_owner(self.gossip, store)
                reply = await self.hub.request(
                    owner,
                    kv_cache_messages.ReserveBlocks(
                        store.identity,
                        call.salt[:16],
                        keys,
                        block_bytes,
                        saved_s_per_byte,
                    ),
                    RESERVE_TIMEOUT_S,
                )
                if not isinstance(reply, kv_cache_messages.BlockRefs):
                    return
                if not reply.refs:
                    return
                sealed = await stores.export_blocks(
                    self.session, record.address, store.address, reply.refs
                )
                self._send_to(
                    owner, kv_cache_messages.SealBlocks(store.identity, sealed)
                )
                size = sum(ref.length for ref in sealed)
                self.context.metrics.link_bytes.labels("export").inc(size)
        finally:
            self._keys_being_exported.discard(keys[-1])

    def notify_reuse(self, call: parsing.ModelCall) -> None:
        """Notifies the stores' owners that a prompt was reused."""
        for identity, blocks in call.holdings.items():
            entry = self.context.targets.entries.get(identity)
            if entry is None or entry.record.role != "store":
                continue
            # The current weight version comes first.
            keys = call.keys(call.versions[0])[:blocks]
            # 0.0 is no new estimate of the seconds saved per byte: the owner
            # keeps half of the previous one.
            self._send_to(
                store_owner.find_owner(self.gossip, entry.record),
                kv_cache_messages.TouchBlocks(identity, keys, 0.0),
            )

    def cancel(self, attempt: runners.RunnerAttempt) -> None:
        """Starts to cancel an attempt whose stream has ended; doesn't wait."""
        self.add_future(self._cancel(attempt))

    async def _cancel(self, attempt: runners.RunnerAttempt) -> None:
        if attempt.offset:
            # A caller that lost its connection may resume the stream at
            # another instance; the runner continues while a client reads
            # the stream.
            await asyncio.sleep(runners.CANCEL_GRACE_S)
        await runners.cancel_attempt(self.session, attempt)
