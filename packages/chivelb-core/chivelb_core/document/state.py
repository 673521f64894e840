"""The replicated state machine that holds the document.

Every voter applies the committed entries of the log to its state in the
same order, so that states are equal at equal log indices.
"""

import hashlib
from typing import Any

import msgspec

from chivelb_core import codes
from chivelb_core.document import changes
from chivelb_core.document import deltas as deltas_lib
from chivelb_core.document import model as model_lib
from chivelb_core.document import part_versions as part_versions_lib
from chivelb_core.document import results as results_lib
from chivelb_core.document import sharing

MAX_EVACUATION_ORDERS = 1_000


class DocumentState(msgspec.Struct, kw_only=True):
    """State of the document state machine, encoded as a whole in snapshots.

    Attributes:
        document: The document at the current version.
        version: Version of the document; increases by 1 with each delta.
        part_versions: Version that last changed each part, by path; removed
            parts are included.
        forgotten_version: Highest version of a removed part that
            ``part_versions`` no longer has.
        answers: Recorded results by change id, oldest first.
        answers_bytes: Size that counts towards ``results.MAX_RECORDED_BYTES``.
        history: The newest deltas, encoded, oldest first; the newest one leads
            to ``version``.
        fencing: Highest fencing token issued.
        leases: Holder and fencing token of each named lease.
        number: The operator's document number; 0 before the first
            replacement.
        source: The document as the operator sent it, for reading it back;
            empty in replicas, which are updated by deltas.
        weights: Number of the newest requested weight version of each model;
            independent of the version names in ``Model``.
        sharing_epoch: Names the last change of which workspaces are isolated;
            prompts that workspaces share are cached under it. No value
            returns. Empty before the first document.
        evacuated_zones: Availability zones whose targets get no requests, each
            with the version since which it is evacuated. No document changes
            them.
        evacuation_orders: Version that the last order to evacuate a zone, or
            to end that, created, by zone, oldest first; empty in replicas.
    """

    document: model_lib.Document = msgspec.field(
        default_factory=model_lib.Document
    )
    version: int = 0
    part_versions: dict[str, int] = {}
    forgotten_version: int = 0
    answers: dict[str, results_lib.ChangeResult] = {}
    answers_bytes: int = 0
    history: list[msgspec.Raw] = []
    fencing: int = 0
    leases: dict[str, tuple[str, int]] = {}
    number: int = 0
    source: bytes = b""
    weights: dict[str, int] = {}
    sharing_epoch: str = ""
    evacuated_zones: dict[str, int] = {}
    evacuation_orders: dict[str, int] = {}

    def replace(self, replacement: changes.DocumentReplacement) -> bool:
        """Applies a committed replacement of the whole document.

        The highest number wins: a replacement whose number is not higher
        than the current one is ignored.

        Args:
            replacement: The replacement, applied in log order.

        Returns:
            True if the replacement took effect.
        """
        if replacement.number <= self.number:
            return False
        operations = changes.diff_documents(self.document, replacement.document)
        self.number = replacement.number
        self.source = replacement.source
        self._append_delta(
            replacement.document,
            f"replacement-{replacement.number}",
            "",
            operations,
        )
        return True

    def set_weight_version(self, model: str, version: int) -> bool:
        """Sets the requested weight version number; it never decreases.

        Args:
            model: Name of the model.
            version: Number of the requested weight version.

        Returns:
            True if the version is newer than the requested one so far.
        """
        if version <= self.weights.get(model, 0):
            return False
        self.weights[model] = version
        self._append_delta(self.document, f"weights-{model}-{version}", "", [])
        return True

    def order_evacuation(
        self, zone: str, *, evacuate: bool, known_version: int
    ) -> bool:
        """Applies a committed order to evacuate a zone, or to end that.

        An order that finds the zone as ordered changes only the version. One
        that arrives after a newer order for the zone has no effect: an
        instance may still be submitting it after the operator has sent it
        again through another instance, or has ordered the opposite.

        Args:
            zone: Name of the availability zone.
            evacuate: True to evacuate the zone, False to end its evacuation.
            known_version: Document version in force where the order was
                received, at that time.

        Returns:
            True if the zone is in the ordered state, False if the order was
            superseded by a newer one.
        """
        is_repeated = (zone in self.evacuated_zones) == evacuate
        if (
            not is_repeated
            and self.evacuation_orders.get(zone, 0) > known_version
        ):
            return False
        version = self.version + 1
        if evacuate:
            self.evacuated_zones.setdefault(zone, version)
        else:
            self.evacuated_zones.pop(zone, None)
        self.evacuation_orders.pop(zone, None)
        self.evacuation_orders[zone] = version
        while len(self.evacuation_orders) > MAX_EVACUATION_ORDERS:
            del self.evacuation_orders[next(iter(self.evacuation_orders))]
        order = "evacuation" if evacuate else "evacuation-end"
        self._append_delta(self.document, f"{order}-{zone}-{version}", "", [])
        return True

    def apply_change(self, change: changes.Change) -> results_lib.ChangeResult:
        """Applies a committed change by compare-and-set.

        Idempotent: a resend with the same change id returns the recorded
        result, even if the document has changed since.

        Args:
            change: The change, applied in log order.

        Returns:
            The result, with the new version, a conflict, or problems.
        """
        digest = digest_change(change)
        recorded = self.answers.get(change.change_id)
        if recorded is not None:
            if recorded.digest != digest:
                return results_lib.ChangeResult(
                    codes.CHANGE_ID_REUSED.number, self.version, digest
                )
            return recorded
        result = self._evaluate(change, digest)
        self._record_answer(change.change_id, result)
        return result

    def _record_answer(
        self, change_id: str, result: results_lib.ChangeResult
    ) -> None:
        self.answers[change_id] = result
        self.answers_bytes += results_lib.count_bytes(change_id, result)
        while (
            len(self.answers) > results_lib.MAX_RECORDED_RESULTS
            or self.answers_bytes > results_lib.MAX_RECORDED_BYTES
        ):
            oldest = next(iter(self.answers))
            self.answers_bytes -= results_lib.count_bytes(
                oldest, self.answers.pop(oldest)
            )

    def _evaluate(
        self, change: changes.Change, digest: str
    ) -> results_lib.ChangeResult:
        if self.has_conflict(change):
            return results_lib.ChangeResult(
                codes.CHANGE_CONFLICT.number, self.version, digest
            )
        document, problems = changes.apply_operations(
            self.document, change.operations
        )
        if problems:
            return results_lib.ChangeResult(
                codes.CHANGE_INVALID.number,
                self.version,
                digest,
                results_lib.shorten(problems),
            )
        self._accept(document, change)
        return results_lib.ChangeResult(codes.DONE.number, self.version, digest)

    def has_conflict(self, change: changes.Change) -> bool:
        """Whether the base version of the change is outdated or unknown."""
        if change.base_version > self.version:
            return True
        if change.whole:
            return change.base_version != self.version
        return any(
            self.part_versions.get(operation.path, self.forgotten_version)
            > change.base_version
            for operation in change.operations
        )

    def _accept(
        self, document: model_lib.Document, change: changes.Change
    ) -> None:
        self._append_delta(
            document, change.change_id, change.author, change.operations
        )

    def _append_delta(
        self,
        document: model_lib.Document,
        change_id: str,
        author: str,
        operations: list[changes.Operation],
    ) -> None:
        previous_version = self.version
        self.version += 1
        if sharing.starts_anew(
            self.sharing_epoch,
            self.document,
            document,
            operations,
            self.part_versions,
            self.forgotten_version,
        ):
            self.sharing_epoch = sharing.name_epoch(self.version, self.number)
        self.document = document
        for operation in operations:
            self.part_versions[operation.path] = self.version
        self.forgotten_version = max(
            self.forgotten_version,
            part_versions_lib.forget_removed(
                self.part_versions, document, operations
            ),
        )
        delta = deltas_lib.DocumentDelta(
            self.version,
            change_id,
            author,
            operations,
            self.number,
            self.weights,
            self.evacuated_zones,
        )
        self.history.append(deltas_lib.encode_delta(delta))
        self.history = deltas_lib.newest(
            self.history, max_count=deltas_lib.MAX_HISTORY_DELTAS
        )
        assert self.version == previous_version + 1, (
            f"document version changed from {previous_version} to "
            f"{self.version}; it must increase by 1"
        )

    def grant_lease(self, lease: str, holder: str, expected: int) -> int:
        """Grants a named lease under a new fencing token.

        Args:
            lease: Name of the lease.
            holder: Requesting holder; a resend by the current holder returns
                its token again.
            expected: Token of the expired grant that the requester observed.

        Returns:
            The token, or 0 if another holder has been granted the lease
            since.
        """
        current_holder, token = self.leases.get(lease, ("", 0))
        if current_holder == holder:
            return token
        if token != expected:
            return 0
        self.fencing += 1
        assert self.fencing > token, (
            f"new fencing token {self.fencing} of lease {lease!r} is not above "
            f"the current token {token}"
        )
        self.leases[lease] = (holder, self.fencing)
        return self.fencing

    def apply_deltas(
        self, deltas: list[deltas_lib.DocumentDelta]
    ) -> "DocumentState":
        """Returns a replica with deltas applied.

        Args:
            deltas: Deltas that follow this state's version, in order.

        Returns:
            The newer state; this one is not modified.

        Raises:
            DeltaError: A delta does not follow the previous version, or its
                operations are invalid.
        """
        document = self.document
        part_versions = dict(self.part_versions)
        version = self.version
        sharing_epoch = self.sharing_epoch
        forgotten_version = self.forgotten_version
        for delta in deltas:
            if delta.version != version + 1:
                raise deltas_lib.DeltaError(
                    f"delta {delta.version} does not follow version {version}"
                )
            previous_document = document
            document, problems = changes.apply_operations(
                document, delta.operations, check=False
            )
            if problems:
                raise deltas_lib.DeltaError(
                    f"invalid delta {delta.version}: {problems[0]}"
                )
            version = delta.version
            if sharing.starts_anew(
                sharing_epoch,
                previous_document,
                document,
                delta.operations,
                part_versions,
                forgotten_version,
            ):
                sharing_epoch = sharing.name_epoch(version, delta.number)
            for operation in delta.operations:
                part_versions[operation.path] = version
            forgotten_version = max(
                forgotten_version,
                part_versions_lib.forget_removed(
                    part_versions, document, delta.operations
                ),
            )
        return DocumentState(
            document=document,
            version=version,
            part_versions=part_versions,
            forgotten_version=forgotten_version,
            history=deltas_lib.newest(
                [*self.history, *map(deltas_lib.encode_delta, deltas)],
                max_count=deltas_lib.MAX_REPLICA_HISTORY_DELTAS,
            ),
            fencing=self.fencing,
            leases=self.leases,
            number=deltas[-1].number if deltas else self.number,
            weights=deltas[-1].weights if deltas else self.weights,
            sharing_epoch=sharing_epoch,
            evacuated_zones=deltas[-1].evacuated_zones
            if deltas
            else self.evacuated_zones,
        )

    def to_replica(self) -> "DocumentState":
        """Returns a copy that ``apply_deltas`` keeps up to date.

        Unlike the state of a voter, which applies the log, the copy has neither
        the recorded results nor the source, and a shorter history.
        """
        return DocumentState(
            document=self.document,
            version=self.version,
            part_versions=dict(self.part_versions),
            forgotten_version=self.forgotten_version,
            history=self.history[-deltas_lib.MAX_REPLICA_HISTORY_DELTAS :],
            fencing=self.fencing,
            leases=dict(self.leases),
            number=self.number,
            weights=dict(self.weights),
            sharing_epoch=self.sharing_epoch,
            evacuated_zones=dict(self.evacuated_zones),
        )

    def copy(self) -> "DocumentState":
        """Returns a copy that entries can be applied to."""
        return msgspec.structs.replace(
            self,
            part_versions=dict(self.part_versions),
            answers=dict(self.answers),
            history=list(self.history),
            leases=dict(self.leases),
            weights=dict(self.weights),
            evacuated_zones=dict(self.evacuated_zones),
            evacuation_orders=dict(self.evacuation_orders),
        )

    def deltas_since(
        self, version: int
    ) -> list[deltas_lib.DocumentDelta] | None:
        """Returns the deltas after a version.

        Args:
            version: Version that the caller has.

        Returns:
            The deltas in order, or None if some of them are no longer in the
            history.
        """
        encoded = self._history_since(version)
        return None if encoded is None else deltas_lib.decode_history(encoded)

    def encode_deltas_since(self, version: int) -> bytes | None:
        """Returns the deltas after a version, encoded as a list.

        Args:
            version: Version that the receiver has.

        Returns:
            The encoded list, or None if some of the deltas are no longer in
            the history.
        """
        encoded = self._history_since(version)
        return None if encoded is None else msgspec.msgpack.encode(encoded)

    def _history_since(self, version: int) -> list[msgspec.Raw] | None:
        missing = self.version - version
        if missing > len(self.history):
            return None
        return self.history[len(self.history) - max(missing, 0) :]


def digest_change(change: changes.Change) -> str:
    """Returns a digest of a change's content, without its id and author."""
    digested: Any = (change.base_version, change.whole, change.operations)
    data = msgspec.json.encode(digested, order="deterministic")
    return hashlib.sha256(data).hexdigest()[:32]


def encode_document_state(document_state: DocumentState) -> bytes:
    """Encodes a document state for a snapshot."""
    return msgspec.msgpack.encode(document_state)


def encode_replica(document_state: DocumentState, max_bytes: int) -> bytes:
    """Encodes a replica with as much of its newest history as fits.

    Args:
        document_state: The state.
        max_bytes: Size that the history may not make the replica exceed.
    """
    replica = document_state.to_replica()
    data = encode_document_state(replica)
    while len(data) > max_bytes and replica.history:
        del replica.history[: (len(replica.history) + 1) // 2]
        data = encode_document_state(replica)
    return data


def decode_document_state(data: bytes) -> DocumentState:
    """Decodes a document state encoded by ``encode_document_state``.

    Raises:
        StateError: The data is no document state.
    """
    document_state = deltas_lib.decode(_state_decoder, data)
    document_state.history = deltas_lib.restore(
        document_state.history, document_state.version
    )
    document_state.answers_bytes = sum(
        results_lib.count_bytes(change_id, result)
        for change_id, result in document_state.answers.items()
    )
    if document_state.part_versions and not document_state.sharing_epoch:
        # Written by a build without sharing epochs.
        document_state.sharing_epoch = sharing.bound_epoch(
            document_state.part_versions
        )
    return document_state


_state_decoder = msgspec.msgpack.Decoder(DocumentState)
