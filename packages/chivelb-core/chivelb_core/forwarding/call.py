"""A caller's request as the decisions see it."""

import dataclasses

from chivelb_core.document import model as model_lib

# Answers are shorter than they may be; this much of that without a hint.
UNHINTED_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """A stretch of a prompt that other prompts may share.

    Attributes:
        key: Id of the stretch.
        tokens: Its length.
    """

    key: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """What a model request says of its prompt.

    Attributes:
        model: Name of the model.
        parts: Stretches in order; the last one is the request's own or its
            session's.
        tokens: Length of the prompt.
        max_output: Most tokens that the answer may have.
        hint: The caller's estimate of the answer's tokens; 0 for none.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_output: int
    hint: int = 0

    @property
    def mean_fill(self) -> int:
        """Tokens that it fills in a runner's memory, over its run."""
        output = self.max_output * UNHINTED_SHARE
        if self.hint:
            output = min(self.hint, self.max_output)
        # The answer grows from nothing to its length.
        return self.tokens + int(output / 2)


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: The caller's id of this request.
        route_name: Name of the route.
        route: The route as the document had it on arrival.
        service: Service that the route's split chose.
        workspace: The caller's workspace; empty on public routes.
        isolated: Whether its cached prompts are its own.
        priority: Rank; 0 is first.
        prompt: What it says of its prompt, or None.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time after which nobody waits, in seconds.
        fingerprint: Digest of workspace, path and body.
        attempts: Times that it was sent to a target.
        tried: Identities of the targets that it was sent to.
    """

    request_id: str
    route_name: str
    route: model_lib.Route
    service: str
    workspace: str
    isolated: bool
    priority: int
    prompt: Prompt | None
    arrived_at: float
    deadline: float
    fingerprint: str = ""
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)

    def start_by(self, since: float) -> float:
        """Returns the monotonic time by which it must have a first byte.

        Args:
            since: When its caller last heard something, or arrived.
        """
        if not self.route.patience_s:
            return self.deadline
        return min(self.deadline, since + self.route.patience_s)

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt; 0 without one."""
        return 0 if self.prompt is None else self.prompt.tokens

    @property
    def fill_tokens(self) -> int:
        """Tokens that it fills in memory; 0 without a prompt."""
        return 0 if self.prompt is None else self.prompt.mean_fill


def cache_salt(weight_version: str, call: Call) -> str:
    """Returns the scope within which a call may share cached prompts.

    Cached prompts of another weight version, or of an isolated workspace,
    have another scope: none of them can be found.

    Args:
        weight_version: Version of the target's weights.
        call: The call.

    Returns:
        Text that names version and, for isolated ones, workspace.
    """
    scope = f"only:{call.workspace}" if call.isolated else "shared"
    return f"{weight_version or 'unknown'}:{scope}"
