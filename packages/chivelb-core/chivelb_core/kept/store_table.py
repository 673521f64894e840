"""Aggregate of one store's blocks, held by the store's owner."""

from collections.abc import Callable
import dataclasses
import enum

from chivelb_core.kept import messages

LEASE_S = 10.0
WRITE_TIMEOUT_S = 10.0
MIN_HORIZON_S = 2.0
MAX_HORIZON_S = 86_400.0
POSITION_STEP = 1e-12
FULL_SHARE = 0.95
RESERVE_SHARE = 0.90


class BlockState(enum.Enum):
    """Life of a block."""

    WRITING = "writing"
    SEALED = "sealed"
    FREEING = "freeing"


@dataclasses.dataclass(slots=True)
class Block:
    """One block in a store.

    Attributes:
        key: Block key.
        generation: Generation of its slot; never used twice.
        state: Where in its life it is.
        length: Bytes.
        checksum: Checksum, once sealed.
        workspace: Whose share it counts to.
        value: Expected seconds saved per byte if it returns.
        position: Place in its prompt; later blocks go first.
        touched_at: Time of the last use, in seconds.
        leases: Expiry by reader, in seconds.
    """

    key: str
    generation: int
    state: BlockState
    length: int
    checksum: str
    workspace: str
    value: float
    position: int
    touched_at: float
    leases: dict[str, float] = dataclasses.field(default_factory=dict)


Scorer = Callable[[Block, float, float], float]


def score_by_recency(block: Block, now: float, horizon_s: float) -> float:
    """Scores by the last use alone; the baseline for keeping."""
    return block.touched_at - now


def make_value_scorer(
    chance: Callable[[str, float, float], float],
) -> Scorer:
    """Returns a scorer by the expected saving of a block.

    Args:
        chance: Chance of a return by workspace, seconds since its last
            visit, and horizon in seconds.
    """

    def score_by_value(block: Block, now: float, horizon_s: float) -> float:
        elapsed = now - block.touched_at
        return chance(block.workspace, elapsed, horizon_s) * block.value

    return score_by_value


class StoreTable:
    """Blocks of one store.

    Rules: only sealed blocks are leased; a leased block is not freed; a
    generation is never used twice; the sum of lengths stays within the
    capacity.

    Attributes:
        blocks: Blocks by key.
        capacity: Bytes that the store holds.
        used: Bytes that blocks take up, freeing ones included.
    """

    __slots__ = (
        "blocks",
        "capacity",
        "used",
        "freeing",
        "_generation",
        "_score",
        "_no_frees_before",
        "_readers",
        "_written",
        "_started_at",
    )

    def __init__(
        self,
        capacity: int,
        score: Scorer,
        *,
        now: float = 0.0,
        no_frees_before: float = 0.0,
    ) -> None:
        """Creates the table of an empty store.

        Args:
            capacity: Bytes that the store holds.
            score: What to keep; the lowest score goes first.
            now: Time in seconds.
            no_frees_before: Time until which leases of an earlier owner may
                be in use, in seconds.
        """
        self.blocks: dict[str, Block] = {}
        self.capacity = capacity
        self.used = 0
        self.freeing: dict[tuple[str, int], int] = {}
        self._generation = 0
        self._score = score
        self._no_frees_before = no_frees_before
        self._readers: dict[str, list[str]] = {}
        self._written = 0
        self._started_at = now

    def rebuild(
        self, refs: list[messages.BlockRef], generation: int, now: float
    ) -> None:
        """Takes the store's own listing after a change of owner.

        Args:
            refs: Sealed blocks.
            generation: Highest generation that the store has seen.
            now: Time in seconds.
        """
        self._generation = max(self._generation, generation)
        for position, ref in enumerate(refs):
            assert ref.generation <= self._generation
            if ref.key not in self.blocks:
                self._add(
                    Block(
                        ref.key,
                        ref.generation,
                        BlockState.SEALED,
                        ref.length,
                        ref.checksum,
                        "",
                        0.0,
                        position,
                        now,
                    )
                )

    def reserve(
        self, request: messages.ReserveBlocks, now: float
    ) -> list[messages.BlockRef]:
        """Makes room for blocks that the store does not hold.

        Args:
            request: The blocks, in the order of their prompt.
            now: Time in seconds.

        Returns:
            Refs of the blocks to write; fewer when what is kept already is
            worth more.
        """
        new = []
        for position, key in enumerate(request.keys):
            known = self.blocks.get(key)
            if known is not None:
                self._touch(known, request.workspace, request.value, now)
            else:
                new.append((position, key))
        self._make_room(request, len(new), now)
        refs = []
        for position, key in new:
            if self.used + request.length > self.capacity:
                break
            self._generation += 1
            block = Block(
                key,
                self._generation,
                BlockState.WRITING,
                request.length,
                "",
                request.workspace,
                request.value,
                position,
                now,
            )
            self._add(block)
            refs.append(
                messages.BlockRef(key, block.generation, "", block.length)
            )
        return refs

    def seal(self, key: str, generation: int, checksum: str) -> bool:
        """Takes the store's word that a block is whole.

        Returns:
            False when the block was freed meanwhile.
        """
        block = self.blocks.get(key)
        if block is None or block.generation != generation:
            return False
        if block.state is BlockState.WRITING:
            block.state = BlockState.SEALED
            block.checksum = checksum
        return True

    def abandon(self, key: str, generation: int) -> None:
        """Frees a block whose write failed."""
        block = self.blocks.get(key)
        if block is not None and block.generation == generation:
            if block.state is BlockState.WRITING:
                self._free(block)

    def lease(
        self, request: messages.LeaseBlocks, now: float
    ) -> list[messages.BlockRef]:
        """Leases the leading run of sealed blocks to a reader.

        Args:
            request: The blocks, in the order of their prompt.
            now: Time in seconds.

        Returns:
            Refs that stay valid until the lease ends.
        """
        refs = []
        for key in request.keys:
            block = self.blocks.get(key)
            if block is None or block.state is not BlockState.SEALED:
                break
            block.leases[request.reader] = now + LEASE_S
            block.touched_at = now
            refs.append(
                messages.BlockRef(
                    key, block.generation, block.checksum, block.length
                )
            )
        self._readers[request.reader] = [ref.key for ref in refs]
        return refs

    def release(self, reader: str) -> None:
        """Ends all leases of a reader."""
        for key in self._readers.pop(reader, ()):
            block = self.blocks.get(key)
            if block is not None:
                block.leases.pop(reader, None)

    def touch(self, request: messages.TouchBlocks, now: float) -> None:
        """Notes that blocks were asked for again."""
        for key in request.keys:
            block = self.blocks.get(key)
            if block is not None:
                self._touch(block, block.workspace, request.value, now)

    def forget_freed(self, key: str, generation: int) -> None:
        """Takes the store's word that a block is gone."""
        length = self.freeing.pop((key, generation), 0)
        self.used -= length

    def drop(self, key: str) -> None:
        """Notes that the store lost a block by itself."""
        block = self.blocks.get(key)
        if block is not None and block.state is BlockState.SEALED:
            self._remove(block)
            self.used -= block.length

    def expire(self, now: float) -> None:
        """Ends late leases and writes that never finished."""
        for block in list(self.blocks.values()):
            late = [r for r, at in block.leases.items() if at <= now]
            for reader in late:
                del block.leases[reader]
                self._readers.pop(reader, None)
            if block.state is BlockState.WRITING:
                if now - block.touched_at > WRITE_TIMEOUT_S:
                    self._free(block)

    def _touch(
        self, block: Block, workspace: str, value: float, now: float
    ) -> None:
        block.touched_at = now
        block.workspace = block.workspace or workspace
        block.value = max(value, block.value * 0.5)

    def _rank(self, block: Block, now: float) -> float:
        score = self._score(block, now, self.horizon_s(now))
        return score - POSITION_STEP * block.position

    def horizon_s(self, now: float) -> float:
        """Returns how long a block stays at the present rate of writes."""
        elapsed = max(now - self._started_at, 1.0)
        rate = self._written / elapsed
        return min(
            max(self.capacity / max(rate, 1.0), MIN_HORIZON_S), MAX_HORIZON_S
        )

    def _make_room(
        self, request: messages.ReserveBlocks, count: int, now: float
    ) -> None:
        """Frees what is worth less than the blocks that ask for room."""
        needed = self.used + count * request.length - self.capacity
        probe = Block(
            "",
            0,
            BlockState.WRITING,
            request.length,
            "",
            request.workspace,
            request.value,
            0,
            now,
        )
        self._free_lowest(needed, self._rank(probe, now), now)

    def keep_reserve(self, now: float) -> None:
        """Frees ahead, so that new blocks find room at once."""
        pending = sum(self.freeing.values())
        if self.used - pending > FULL_SHARE * self.capacity:
            needed = int(self.used - RESERVE_SHARE * self.capacity)
            self._free_lowest(needed, float("inf"), now)

    def _free_lowest(self, needed: int, below: float, now: float) -> None:
        """Frees the lowest ranks until enough room is freed or pending."""
        pending = sum(self.freeing.values())
        if pending >= needed or now < self._no_frees_before:
            return
        # Freed room counts only once the store has confirmed it, so that a
        # slow free can't overfill the store.
        ranked = sorted(
            (self._rank(block, now), block.key)
            for block in self.blocks.values()
            if block.state is BlockState.SEALED and not block.leases
        )
        for rank, key in ranked:
            if pending >= needed or rank >= below:
                return
            victim = self.blocks[key]
            pending += victim.length
            self._free(victim)

    def _add(self, block: Block) -> None:
        assert block.key not in self.blocks
        self.blocks[block.key] = block
        self.used += block.length
        self._written += block.length

    def _remove(self, block: Block) -> None:
        del self.blocks[block.key]

    def _free(self, block: Block) -> None:
        assert not block.leases, "a leased block would be freed"
        block.state = BlockState.FREEING
        self._remove(block)
        self.freeing[(block.key, block.generation)] = block.length

    def check_invariants(self) -> None:
        """Asserts the rules of the class."""
        held = sum(block.length for block in self.blocks.values())
        assert held + sum(self.freeing.values()) == self.used
        assert self.used <= self.capacity, "the store is overfilled"
        generations = [b.generation for b in self.blocks.values()]
        generations += [generation for _, generation in self.freeing]
        assert len(set(generations)) == len(generations)
        for block in self.blocks.values():
            assert block.state is not BlockState.FREEING
            if block.leases:
                assert block.state is BlockState.SEALED
