"""Table of one store's blocks, managed by the store's owner."""

from collections.abc import Callable
import dataclasses
import enum

from chivelb_core.kv_cache import messages

LEASE_S = 10.0
WRITE_TIMEOUT_S = 10.0
# Bounds of the expected block lifetime, which is the horizon within which a
# block's reuse counts.
MIN_BLOCK_LIFETIME_S = 2.0
MAX_BLOCK_LIFETIME_S = 86_400.0
# Subtracted from a score for each block before it in the prompt; too small to
# matter unless scores are equal.
SCORE_PENALTY_PER_POSITION = 1e-12
HIGH_WATERMARK = 0.95
LOW_WATERMARK = 0.90


class BlockState(enum.Enum):
    """Lifecycle state of a block."""

    WRITING = "writing"
    SEALED = "sealed"
    FREEING = "freeing"


@dataclasses.dataclass(slots=True)
class Block:
    """One block in a store.

    Attributes:
        key: Key of the block.
        generation: Number of the reservation that created the block; never
            reused in the store.
        state: Lifecycle state.
        length: Size in bytes.
        checksum: Checksum; empty before the block is sealed.
        workspace: Tag of the workspace that the block is accounted to; empty
            if unknown after a change of owner.
        value: Prefill seconds saved per byte if the block is requested again;
            not multiplied by the probability of that.
        position: Index in its prompt; at equal scores later blocks are
            evicted first.
        touched_at: Monotonic time of the last use, in seconds.
        leases: Monotonic time of expiry by reader, in seconds.
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
    """Scores a block by its last use alone, as in LRU eviction."""
    return block.touched_at - now


def make_value_scorer(
    reuse_probability: Callable[[str, float, float], float],
) -> Scorer:
    """Returns a scorer by the expected time that a block saves per byte.

    That is the block's value times the probability of another visit.

    Args:
        reuse_probability: Function from workspace tag, seconds since the last
            visit and horizon in seconds to the probability of another
            visit.
    """

    def score_by_value(block: Block, now: float, horizon_s: float) -> float:
        elapsed = now - block.touched_at
        return (
            reuse_probability(block.workspace, elapsed, horizon_s) * block.value
        )

    return score_by_value


class StoreTable:
    """Blocks of one store.

    Invariants: only sealed blocks are leased; a leased block is not freed; a
    generation is never reused; the sum of block sizes does not exceed the
    capacity.

    Attributes:
        blocks: Blocks by key.
        capacity: Capacity of the store, in bytes.
        used: Bytes in use, including blocks that are being freed.
        freeing: Size in bytes of the blocks that are being freed, by key and
            generation.
    """

    __slots__ = (
        "blocks",
        "capacity",
        "used",
        "freeing",
        "_generation",
        "_score",
        "_frees_allowed_at",
        "_keys_by_reader",
        "_bytes_written",
        "_started_at",
    )

    def __init__(
        self,
        capacity: int,
        score: Scorer,
        *,
        now: float = 0.0,
        frees_allowed_at: float = 0.0,
    ) -> None:
        """Creates the table of an empty store.

        Args:
            capacity: Capacity of the store, in bytes.
            score: Eviction score; blocks with the lowest score are freed
                first.
            now: Monotonic time in seconds.
            frees_allowed_at: Monotonic time until which leases granted by a
                previous owner may be in use, in seconds.
        """
        self.blocks: dict[str, Block] = {}
        self.capacity = capacity
        self.used = 0
        self.freeing: dict[tuple[str, int], int] = {}
        self._generation = 0
        self._score = score
        self._frees_allowed_at = frees_allowed_at
        self._keys_by_reader: dict[str, list[str]] = {}
        # Bytes of all blocks ever added: reserved ones, written or not, and
        # those restored by ``rebuild``.
        self._bytes_written = 0
        self._started_at = now

    def rebuild(
        self, refs: list[messages.BlockRef], generation: int, now: float
    ) -> None:
        """Restores the table from the store's listing on a change of owner.

        Args:
            refs: Sealed blocks.
            generation: Highest generation that the store has used.
            now: Monotonic time in seconds.
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
        """Reserves space for the blocks that the store does not hold.

        Args:
            request: The blocks, in prompt order.
            now: Monotonic time in seconds.

        Returns:
            References of the blocks to write; fewer than requested if the
            stored blocks have higher scores.
        """
        missing = []
        for position, key in enumerate(request.keys):
            known = self.blocks.get(key)
            if known is not None:
                self._touch(known, request.workspace, request.value, now)
            else:
                missing.append((position, key))
        self._make_room(request, len(missing), now)
        refs = []
        for position, key in missing:
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
        """Marks a block as completely written.

        Returns:
            False if the block was freed in the meantime.
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
        """Leases the sealed blocks before the first missing one to a reader.

        Args:
            request: The blocks, in prompt order.
            now: Monotonic time in seconds.

        Returns:
            References that stay valid until the lease ends.
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
        self._keys_by_reader[request.reader] = [ref.key for ref in refs]
        return refs

    def release(self, reader: str) -> None:
        """Ends all leases of a reader."""
        for key in self._keys_by_reader.pop(reader, ()):
            block = self.blocks.get(key)
            if block is not None:
                block.leases.pop(reader, None)

    def touch(self, request: messages.TouchBlocks, now: float) -> None:
        """Records that blocks were requested again."""
        for key in request.keys:
            block = self.blocks.get(key)
            if block is not None:
                self._touch(block, block.workspace, request.value, now)

    def confirm_freed(self, key: str, generation: int) -> None:
        """Releases the space of a block that the store has freed."""
        length = self.freeing.pop((key, generation), 0)
        self.used -= length

    def record_lost(self, key: str) -> None:
        """Records that the store has lost a block, and frees its space."""
        block = self.blocks.get(key)
        if block is not None and block.state is BlockState.SEALED:
            self._remove(block)
            self.used -= block.length

    def expire(self, now: float) -> None:
        """Ends expired leases and frees blocks whose write timed out."""
        for block in list(self.blocks.values()):
            expired_readers = [r for r, at in block.leases.items() if at <= now]
            for reader in expired_readers:
                del block.leases[reader]
                self._keys_by_reader.pop(reader, None)
            if block.state is BlockState.WRITING:
                if now - block.touched_at > WRITE_TIMEOUT_S:
                    self._free(block)

    def _touch(
        self, block: Block, workspace: str, value: float, now: float
    ) -> None:
        block.touched_at = now
        block.workspace = block.workspace or workspace
        # A lower value takes effect gradually: each use at most halves it.
        block.value = max(value, block.value * 0.5)

    def _adjusted_score(self, block: Block, now: float) -> float:
        score = self._score(block, now, self.horizon_s(now))
        return score - SCORE_PENALTY_PER_POSITION * block.position

    def horizon_s(self, now: float) -> float:
        """Returns the expected block lifetime at the mean write rate.

        The rate is that at which blocks are added, by reservations and
        ``rebuild``.
        """
        elapsed = max(now - self._started_at, 1.0)
        rate = self._bytes_written / elapsed
        return min(
            max(self.capacity / max(rate, 1.0), MIN_BLOCK_LIFETIME_S),
            MAX_BLOCK_LIFETIME_S,
        )

    def _make_room(
        self, request: messages.ReserveBlocks, count: int, now: float
    ) -> None:
        """Frees blocks with a lower score than the requested ones."""
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
        self._free_lowest(needed, self._adjusted_score(probe, now), now)

    def free_to_low_watermark(self, now: float) -> None:
        """Frees blocks in advance, so that new blocks need not wait.

        Starts above ``HIGH_WATERMARK`` and frees down to ``LOW_WATERMARK``.
        """
        pending = sum(self.freeing.values())
        if self.used - pending > HIGH_WATERMARK * self.capacity:
            needed = int(self.used - LOW_WATERMARK * self.capacity)
            self._free_lowest(needed, float("inf"), now)

    def _free_lowest(self, needed: int, below_score: float, now: float) -> None:
        """Frees blocks, lowest score first, until enough frees are pending."""
        pending = sum(self.freeing.values())
        if pending >= needed or now < self._frees_allowed_at:
            return
        # Space counts as free only after the store has confirmed the free,
        # so that a slow free can't overfill the store.
        scored = sorted(
            (self._adjusted_score(block, now), block.key)
            for block in self.blocks.values()
            if block.state is BlockState.SEALED and not block.leases
        )
        for score, key in scored:
            if pending >= needed or score >= below_score:
                return
            victim = self.blocks[key]
            pending += victim.length
            self._free(victim)

    def _add(self, block: Block) -> None:
        assert block.key not in self.blocks
        self.blocks[block.key] = block
        self.used += block.length
        self._bytes_written += block.length

    def _remove(self, block: Block) -> None:
        del self.blocks[block.key]

    def _free(self, block: Block) -> None:
        assert not block.leases, (
            f"block {block.key} would be freed while leased by "
            f"{sorted(block.leases)}"
        )
        block.state = BlockState.FREEING
        self._remove(block)
        self.freeing[(block.key, block.generation)] = block.length

    def check_invariants(self) -> None:
        """Asserts the class invariants."""
        held = sum(block.length for block in self.blocks.values())
        assert held + sum(self.freeing.values()) == self.used
        assert self.used <= self.capacity, (
            f"{self.used} bytes in use exceed the capacity of {self.capacity}"
        )
        generations = [b.generation for b in self.blocks.values()]
        generations += [generation for _, generation in self.freeing]
        assert len(set(generations)) == len(generations)
        for block in self.blocks.values():
            assert block.state is not BlockState.FREEING
            if block.leases:
                assert block.state is BlockState.SEALED
