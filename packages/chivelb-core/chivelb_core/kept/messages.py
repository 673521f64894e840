"""Messages on kept cache between the instances of a zone."""

import msgspec

from chivelb_core.kept import directory


class CacheNews(msgspec.Struct, rename="camel", frozen=True):
    """Events of a target for the owner of a directory shard.

    Attributes:
        identity: The target.
        incarnation: Its incarnation.
        events: Events, in order.
    """

    identity: str
    incarnation: int
    events: list[directory.CacheEvent]


class CacheListing(msgspec.Struct, rename="camel", frozen=True):
    """All block keys of a target that fall to one directory shard."""

    identity: str
    incarnation: int
    keys: list[str]


class Lookup(msgspec.Struct, rename="camel", frozen=True):
    """Asks a shard's owner who holds a prompt's leading blocks.

    Attributes:
        keys: Block keys of the prompt, in order.
        workspace: Tag of the workspace, for the chance of a return.
    """

    keys: list[str]
    workspace: str


class Holding(msgspec.Struct, rename="camel", frozen=True):
    """A target and how many leading blocks it holds."""

    identity: str
    blocks: int


class LookupReply(msgspec.Struct, rename="camel", frozen=True):
    """Holdings of the targets that hold any leading block.

    Attributes:
        holdings: One for each target that holds any.
        chance: Chance that the prompt returns.
    """

    holdings: list[Holding]
    chance: float


class BlockRef(msgspec.Struct, rename="camel", frozen=True):
    """A block in a store, as orders name it.

    Attributes:
        key: Block key.
        generation: Generation of the slot that holds it.
        checksum: Checksum of a sealed block; empty before.
        length: Bytes.
    """

    key: str
    generation: int
    checksum: str
    length: int


class LeaseBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Asks a store's owner for leases on sealed blocks.

    Attributes:
        store: Identity of the store.
        reader: Id of the attempt that reads.
        keys: The blocks, in order.
    """

    store: str
    reader: str
    keys: list[str]


class ReleaseBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Ends the leases of a reader."""

    store: str
    reader: str


class ReserveBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Asks a store's owner for room to write blocks.

    Attributes:
        store: Identity of the store.
        workspace: Whose share the blocks count to.
        keys: The blocks, in order.
        length: Bytes of each block.
        value: Expected seconds saved per byte kept.
    """

    store: str
    workspace: str
    keys: list[str]
    length: int
    value: float


class SealBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Tells a store's owner that blocks are whole."""

    store: str
    refs: list[BlockRef]


class TouchBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Tells a store's owner that blocks were asked for again."""

    store: str
    keys: list[str]
    value: float


class BlockRefs(msgspec.Struct, rename="camel", frozen=True):
    """Answers a lease or a reservation; empty when there is none."""

    refs: list[BlockRef]
