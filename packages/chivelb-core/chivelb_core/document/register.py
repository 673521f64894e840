"""The replicated state machine that committed changes are applied to."""

import hashlib
from typing import Any

import msgspec

from chivelb_core import codes
from chivelb_core.document import changes
from chivelb_core.document import checks
from chivelb_core.document import model as model_lib

REMEMBERED_CHANGES = 200_000
HISTORY_LENGTH = 2_000
REPLICA_HISTORY = 500


class Answer(msgspec.Struct, frozen=True):
    """The first answer to a change, given again to each resend.

    Attributes:
        code: Number of the result code.
        version: Version that the change made, or the current one.
        digest: Digest of the change's operations, to see a reused id.
        problems: Faults of the change, if any.
    """

    code: int
    version: int
    digest: str
    problems: list[checks.Problem] = []


class Delta(msgspec.Struct, frozen=True):
    """One link of the version chain: takes ``version - 1`` to ``version``.

    Attributes:
        version: Version that it makes.
        change_id: Id of the change.
        author: Who asked for it.
        operations: What it does to the document.
        number: The operator's number of the document after it.
        weights: Newest weight versions named by then, by model.
    """

    version: int
    change_id: str
    author: str
    operations: list[changes.Operation]
    number: int = 0
    weights: dict[str, int] = {}


class Register(msgspec.Struct, kw_only=True):
    """Document, change ids and fencing counter: all that a snapshot holds.

    Attributes:
        document: The document of the current version.
        version: Number of accepted changes; never decreases.
        part_versions: Version that last changed each part.
        answers: First answers by change id, oldest first.
        history: The newest links of the version chain, oldest first.
        fencing: Highest fencing token minted.
        leases: Holder and token of each named lease.
        number: The operator's own number of the document; 0 before the
            first replacement.
        source: The document as the operator sent it, for reading it back;
            empty in the copies of instances that only follow.
        weights: Newest weight version that was named, by model.
    """

    document: model_lib.Document = msgspec.field(
        default_factory=model_lib.Document
    )
    version: int = 0
    part_versions: dict[str, int] = {}
    answers: dict[str, Answer] = {}
    history: list[Delta] = []
    fencing: int = 0
    leases: dict[str, tuple[str, int]] = {}
    number: int = 0
    source: bytes = b""
    weights: dict[str, int] = {}

    def replace(self, replacement: changes.Replacement) -> bool:
        """Applies a committed replacement of the whole document.

        The highest number wins; one that is not higher changes nothing.

        Args:
            replacement: A replacement in the order of the log.

        Returns:
            True when it is in force now.
        """
        if replacement.number <= self.number:
            return False
        operations = changes.diff_documents(self.document, replacement.document)
        self.document = replacement.document
        self.number = replacement.number
        self.source = replacement.source
        self._append_link(f"replacement-{replacement.number}", "", operations)
        return True

    def name_weights(self, model: str, version: int) -> bool:
        """Names a weight version; a lower one than known changes nothing."""
        if version <= self.weights.get(model, 0):
            return False
        self.weights[model] = version
        self._append_link(f"weights-{model}-{version}", "", [])
        return True

    def apply_change(self, change: changes.Change) -> Answer:
        """Applies a committed change by compare-and-set.

        The same change id gets its first answer again, whatever happened
        since.

        Args:
            change: A change in the order of the log.

        Returns:
            The answer, with the new version or the conflict or problems.
        """
        digest = digest_operations(change)
        first = self.answers.get(change.change_id)
        if first is not None:
            if first.digest != digest:
                return Answer(
                    codes.CHANGE_ID_REUSED.number, self.version, digest
                )
            return first
        answer = self._decide(change, digest)
        self.answers[change.change_id] = answer
        while len(self.answers) > REMEMBERED_CHANGES:
            del self.answers[next(iter(self.answers))]
        return answer

    def _decide(self, change: changes.Change, digest: str) -> Answer:
        if self.conflicts(change):
            return Answer(codes.CHANGE_CONFLICT.number, self.version, digest)
        document, problems = changes.apply_operations(
            self.document, change.operations
        )
        if problems:
            return Answer(
                codes.CHANGE_INVALID.number, self.version, digest, problems
            )
        self._advance(document, change)
        return Answer(codes.DONE.number, self.version, digest)

    def conflicts(self, change: changes.Change) -> bool:
        """Tells whether the change's base is older than what it touches."""
        if change.base_version > self.version:
            return True
        if change.whole:
            return change.base_version != self.version
        return any(
            self.part_versions.get(operation.path, 0) > change.base_version
            for operation in change.operations
        )

    def _advance(
        self, document: model_lib.Document, change: changes.Change
    ) -> None:
        self.document = document
        self._append_link(change.change_id, change.author, change.operations)

    def _append_link(
        self, change_id: str, author: str, operations: list[changes.Operation]
    ) -> None:
        before = self.version
        self.version += 1
        for operation in operations:
            self.part_versions[operation.path] = self.version
        self.history.append(
            Delta(
                self.version,
                change_id,
                author,
                operations,
                self.number,
                dict(self.weights),
            )
        )
        del self.history[:-HISTORY_LENGTH]
        assert self.version == before + 1, "version chain has a gap"

    def grant_lease(self, lease: str, holder: str, expected: int) -> int:
        """Grants a named lease under a new fencing token.

        Args:
            lease: Name of the lease.
            holder: Who asks; a resend by the same holder gets its token.
            expected: Token of the lease that the asker saw lapse.

        Returns:
            The token, or 0 when another holder was granted it meanwhile.
        """
        known, token = self.leases.get(lease, ("", 0))
        if known == holder:
            return token
        if token != expected:
            return 0
        self.fencing += 1
        assert self.fencing > token, "fencing tokens must grow"
        self.leases[lease] = (holder, self.fencing)
        return self.fencing

    def apply_deltas(self, deltas: list[Delta]) -> "Register":
        """Returns a register that is further along the version chain.

        Args:
            deltas: Links that follow this register's version, in order.

        Returns:
            The newer register; this one stays as it is.

        Raises:
            ValueError: The links do not follow, or do not apply.
        """
        document = self.document
        part_versions = dict(self.part_versions)
        version = self.version
        for delta in deltas:
            if delta.version != version + 1:
                raise ValueError(
                    f"delta {delta.version} does not follow {version}"
                )
            document, problems = changes.apply_operations(
                document, delta.operations, check=False
            )
            if problems:
                raise ValueError(f"delta {delta.version}: {problems[0]}")
            version = delta.version
            for operation in delta.operations:
                part_versions[operation.path] = version
        return Register(
            document=document,
            version=version,
            part_versions=part_versions,
            history=[*self.history, *deltas][-REPLICA_HISTORY:],
            fencing=self.fencing,
            leases=self.leases,
            number=deltas[-1].number if deltas else self.number,
            weights=deltas[-1].weights if deltas else self.weights,
        )

    def replica(self) -> "Register":
        """Returns a copy without the answers, for instances that follow."""
        return Register(
            document=self.document,
            version=self.version,
            part_versions=dict(self.part_versions),
            history=self.history[-REPLICA_HISTORY:],
            fencing=self.fencing,
            leases=dict(self.leases),
            number=self.number,
            weights=dict(self.weights),
        )

    def deltas_since(self, version: int) -> list[Delta] | None:
        """Returns the links after a version, or None when some are gone."""
        if version >= self.version:
            return []
        if not self.history or self.history[0].version > version + 1:
            return None
        return self.history[version + 1 - self.history[0].version :]


def digest_operations(change: changes.Change) -> str:
    """Returns a digest of what the change does, free of its id."""
    plain: Any = (change.base_version, change.whole, change.operations)
    data = msgspec.json.encode(plain, order="deterministic")
    return hashlib.sha256(data).hexdigest()[:32]


def encode_register(register: Register) -> bytes:
    """Encodes a register for a snapshot."""
    return msgspec.msgpack.encode(register)


def decode_register(data: bytes) -> Register:
    """Decodes a snapshot made by ``encode_register``."""
    return msgspec.msgpack.decode(data, type=Register)
