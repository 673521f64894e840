"""Messages about stored KV cache between instances."""

import typing

import msgspec

from chivelb_core.kv_cache import directory


class CacheUpdates(msgspec.Struct, rename="camel", frozen=True):
    """Forwards events of a target to the owner of a directory shard.

    Attributes:
        identity: Identity of the target.
        incarnation: Incarnation of the target.
        events: Events, in order.
    """

    # Name in the wire schema, where it differs from the name of the class.
    SCHEMA_NAME: typing.ClassVar[str] = "CacheNews"

    identity: str
    incarnation: int
    events: list[directory.CacheEvent]


class CacheListing(msgspec.Struct, rename="camel", frozen=True):
    """Lists all block keys of a target that belong to a directory shard.

    Attributes:
        identity: Identity of the target.
        incarnation: Incarnation of the target.
        keys: Keys of the blocks.
    """

    identity: str
    incarnation: int
    keys: list[str]


class Lookup(msgspec.Struct, rename="camel", frozen=True):
    """Asks a shard's owner which targets hold a prompt's leading blocks.

    Attributes:
        keys: Block keys of the prompt, in order.
        workspace: Tag of the workspace, which selects the reuse statistics: the
            first 16 hex digits of the call's cache salt.
    """

    keys: list[str]
    workspace: str


class Holding(msgspec.Struct, rename="camel", frozen=True):
    """Number of leading blocks that a target holds.

    Attributes:
        identity: Identity of the target.
        blocks: Number of leading blocks.
    """

    identity: str
    blocks: int


class LookupReply(msgspec.Struct, rename="camel", frozen=True):
    """Answers a lookup.

    Attributes:
        holdings: One entry for each target that holds a leading block.
        chance: Probability that the prompt is requested again.
    """

    holdings: list[Holding]
    chance: float


class BlockRef(msgspec.Struct, rename="camel", frozen=True):
    """Reference to a block in a store.

    Attributes:
        key: Key of the block.
        generation: Generation of the block: a number, unique in the store, that
            its owner assigns when it reserves the block. It distinguishes the
            block from an earlier one with the same key.
        checksum: Checksum of a sealed block; empty before it is sealed.
        length: Size in bytes.
    """

    key: str
    generation: int
    checksum: str
    length: int


class LeaseBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Asks a store's owner for leases on sealed blocks.

    Attributes:
        store: Identity of the store.
        reader: Identifier of the attempt that reads the blocks.
        keys: Keys of the blocks, in order.
    """

    store: str
    reader: str
    keys: list[str]


class ReleaseBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Ends the leases of a reader.

    Attributes:
        store: Identity of the store.
        reader: Identifier of the attempt that read the blocks.
    """

    store: str
    reader: str


class ReserveBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Asks a store's owner to reserve space for new blocks.

    Attributes:
        store: Identity of the store.
        workspace: Tag of the workspace that the blocks are accounted to; see
            ``Lookup``.
        keys: Keys of the blocks, in order.
        length: Size of each block, in bytes.
        value: Prefill seconds saved per stored byte if the blocks are requested
            again; not multiplied by the probability of that.
    """

    store: str
    workspace: str
    keys: list[str]
    length: int
    value: float


class SealBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Notifies a store's owner that blocks are completely written.

    Attributes:
        store: Identity of the store.
        refs: The blocks, with their checksums.
    """

    store: str
    refs: list[BlockRef]


class TouchBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Notifies a store's owner that blocks were requested again.

    Attributes:
        store: Identity of the store.
        keys: Keys of the blocks.
        value: Prefill seconds saved per stored byte if the blocks are requested
            again; not multiplied by the probability of that.
    """

    store: str
    keys: list[str]
    value: float


class BlockRefs(msgspec.Struct, rename="camel", frozen=True):
    """Answers a lease or reservation request.

    Attributes:
        refs: Leased or reserved blocks; empty if none were granted.
    """

    refs: list[BlockRef]
