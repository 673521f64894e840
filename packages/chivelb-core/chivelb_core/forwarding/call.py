"""Client request, as seen by the placement and admission logic."""

import dataclasses
import functools
import hashlib
import json

from chivelb_core.document import model as model_lib
from chivelb_core.document import state as state_lib

# Expected output length without a hint, as a fraction of the maximum: most
# outputs end before they reach it.
UNHINTED_OUTPUT_FRACTION = 0.5
SCOPE_DIGEST_BYTES = 16
MAX_KEPT_DIGESTS = 4_096


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """Contiguous section of a prompt that other prompts may share.

    Attributes:
        part_id: Identifier of the part that the client declares. Its directory
            key combines this with the sharing scope.
        tokens: Length of the part, in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """Prompt metadata that a model request declares.

    Attributes:
        model: Name of the model.
        parts: Parts in prompt order; the last one belongs to this request
            or its session alone.
        tokens: Length of the prompt, in tokens.
        max_output: Maximum length of the output, in tokens.
        hint: Client's estimate of the output length, in tokens; 0 if
            unknown.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_output: int
    hint: int = 0

    @property
    def mean_kv_tokens(self) -> int:
        """Mean KV cache tokens that the request occupies while it runs."""
        output_tokens = self.max_output * UNHINTED_OUTPUT_FRACTION
        if self.hint:
            output_tokens = min(self.hint, self.max_output)
        # The output grows linearly from zero, so its mean is half its length.
        return self.tokens + int(output_tokens / 2)


@dataclasses.dataclass(slots=True)
class Call:
    """One client request, from its arrival to the end of its last attempt.

    Attributes:
        request_id: Identifier that the client gave the request.
        route_name: Name of the route.
        route: Route configuration at the time of arrival.
        service: Service selected by the route's traffic split.
        workspace: Workspace of the client, whose name may be empty; None on
            public routes.
        priority: Priority in the instance's queue; 0 is the highest.
        prompt: Declared prompt metadata, or None.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time after which the client no longer waits, in
            seconds.
        fingerprint: Digest of workspace, path and body.
        part_keys: Keys of the parts of its prompt that other prompts may
            share.
        on_trial: Whether it may be sent although a part of its prompt is
            refused, to learn whether that part still crashes targets.
        last_event_id: Id of the last event that the client has of a stream
            that broke off and that it takes up; empty for none.
        resumes: Request id of the attempt that brought the first event of that
            stream; empty if the client does not tell.
        software_version: Software version that a target must have to continue
            the stream; None if the stream has not begun.
        origin_recorded: Whether the origin of the stream was recorded.
        attempts: Number of times the request was sent to a target.
        tried: Identities of the targets that the request was sent to.
        regions: Regions whose targets it may use; None for all.
        is_overdue: Whether no call of its priority has started for too long,
            so that it leaves no room to more urgent ones.
    """

    request_id: str
    route_name: str
    route: model_lib.Route
    service: str
    workspace: str | None
    priority: int
    prompt: Prompt | None
    arrived_at: float
    deadline: float
    fingerprint: str = ""
    part_keys: tuple[str, ...] = ()
    on_trial: bool = False
    last_event_id: str = ""
    resumes: str = ""
    software_version: str | None = None
    origin_recorded: bool = False
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    regions: frozenset[str] | None = None
    is_overdue: bool = False

    @property
    def shared_part_ids(self) -> list[str]:
        """Identifiers of the parts that other prompts may share, in order."""
        if self.prompt is None:
            return []
        return [part.part_id for part in self.prompt.parts[:-1]]

    @property
    def takes_up_stream(self) -> bool:
        """Whether the client takes up a stream that broke off."""
        return bool(self.last_event_id)

    def next_byte_deadline(self, wait_started_at: float) -> float:
        """Returns the monotonic time by which the next byte is due.

        Args:
            wait_started_at: Monotonic time of arrival of the call or, if it is
                retried, of its return to the queue, in seconds. The client's
                patience is counted from this time.
        """
        if not self.route.patience_s:
            return self.deadline
        return min(self.deadline, wait_started_at + self.route.patience_s)

    def may_go_to(self, software_version: str | None) -> bool:
        """Returns whether a target with a software version may serve it.

        Args:
            software_version: The version; None if it is not known for sure.
        """
        return self.software_version in (None, software_version)

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt, in tokens; 0 without a prompt."""
        return 0 if self.prompt is None else self.prompt.tokens

    @property
    def mean_kv_tokens(self) -> int:
        """Mean KV cache tokens that it occupies; 0 without a prompt."""
        return 0 if self.prompt is None else self.prompt.mean_kv_tokens


def sharing_scope(
    weight_version: str,
    call: Call,
    document_state: state_lib.DocumentState,
    *,
    may_share: bool = True,
) -> str:
    """Returns the sharing scope of a call's cached prompts.

    Lookups never find prompts that were cached under another weight version,
    for another model, by an isolated workspace, or before the last change of
    which workspaces are isolated.

    Args:
        weight_version: Version of the target's weights.
        call: The call; it has a prompt.
        document_state: The document in force when the call is sent.
        may_share: Whether this instance may use the shared scope. If not, each
            workspace has a scope of its own, as if it were isolated.

    Returns:
        Printable ASCII text, whatever the names of workspaces and models. The
        scope of an isolated workspace differs from all others.
    """
    if not may_share or _shares_nothing(call, document_state):
        kind, owner = "only", call.workspace
    else:
        kind, owner = "shared", document_state.sharing_epoch
    digest = _scope_digest(kind, owner, call.prompt.model)
    return f"{weight_version or 'unknown'}:{kind}:{digest}"


def _shares_nothing(
    call: Call, document_state: state_lib.DocumentState
) -> bool:
    """Returns whether a call's workspace is isolated, or was removed."""
    if call.workspace is None:
        return False
    workspace = document_state.document.workspaces.get(call.workspace)
    return workspace is None or workspace.isolated


@functools.lru_cache(MAX_KEPT_DIGESTS)
def _scope_digest(*names: str | None) -> str:
    """Returns a digest of names of any characters, of fixed length."""
    return hashlib.blake2b(
        json.dumps(names).encode(), digest_size=SCOPE_DIGEST_BYTES
    ).hexdigest()
