"""Turns a caller's HTTP request into a typed call."""

import dataclasses
import hashlib
import hmac
import secrets

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import document
from chivelb_core import kept
from chivelb_core.kept import keys as keys_lib

from chivelb_node import context as context_lib
from chivelb_node.edge import responses

DEFAULT_MAX_TOKENS = 64
LARGEST_MAX_TOKENS = 32_768
MAX_KEY_LENGTH = 200


@dataclasses.dataclass(slots=True)
class ModelCall:
    """A prompt on its way through this instance.

    Attributes:
        request_id: Id that callers see.
        workspace: Name of the workspace.
        service: Name of the service.
        model: Name of its model.
        versions: Weight versions that may serve it, the current one first.
        class_name: Scheduling class.
        prompt: UTF-8 prompt.
        max_tokens: Most tokens to generate.
        stream: Whether the caller wants server-sent events.
        chat: Whether the chat shape is answered.
        salt: Cache salt of workspace and service.
        deadline: Monotonic time when the call is given up, in seconds.
        received_at: Monotonic time when it came, in seconds.
        body: The decoded body, for pass-through fields.
        repeatable: Whether it may run more than once.
        fingerprint: Digest of workspace and prompt.
        key_cache: Block keys by weight version, computed once.
        holdings: Leading blocks that each target holds, by identity.
        chance: Chance that the prompt returns.
        tried: Targets that an attempt of the call failed on.
    """

    request_id: str
    workspace: str
    service: str
    model: str
    versions: list[str]
    class_name: str
    prompt: bytes
    max_tokens: int
    stream: bool
    chat: bool
    salt: str
    deadline: float
    received_at: float
    body: dict
    repeatable: bool = True
    fingerprint: str = ""
    key_cache: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    holdings: dict[str, int] = dataclasses.field(default_factory=dict)
    chance: float = 0.3
    tried: set[str] = dataclasses.field(default_factory=set)

    @property
    def prompt_tokens(self) -> int:
        """Predicted tokens of the prompt."""
        return keys_lib.count_tokens(self.prompt)

    @property
    def total_tokens(self) -> int:
        """Tokens of KV cache that the call may fill."""
        return self.prompt_tokens + self.max_tokens

    def keys(self, version: str) -> list[str]:
        """Returns the prompt's block keys under a weight version."""
        known = self.key_cache.get(version)
        if known is None:
            known = kept.block_keys(self.salt, version, self.prompt)
            self.key_cache[version] = known
        return known

    @property
    def anchor(self) -> str:
        """The prompt's anchor, or empty for a short prompt."""
        keys = self.keys(self.versions[0])
        return kept.anchor_key(keys) if keys else ""


def new_request_id(cache_secret: str) -> str:
    """Returns a random id that only its workspace's secret could sign."""
    nonce = secrets.token_hex(8)
    return nonce + _tag(cache_secret, nonce)


def is_own_request_id(request_id: str, cache_secret: str) -> bool:
    """Tells whether an id was given out for the workspace."""
    if len(request_id) != 24:
        return False
    tag = _tag(cache_secret, request_id[:16])
    return hmac.compare_digest(tag, request_id[16:])


def _tag(cache_secret: str, nonce: str) -> str:
    digest = hmac.new(bytes.fromhex(cache_secret), nonce.encode(), "sha256")
    return digest.hexdigest()[:8]


def authenticate(
    context: context_lib.InstanceContext, authorization: str
) -> tuple[str, document.Workspace]:
    """Finds the workspace of a bearer key.

    Args:
        context: The instance's state.
        authorization: Value of the Authorization header.

    Returns:
        Name and workspace.

    Raises:
        responses.CodedError: The key is missing or unknown.
    """
    if not context.ready:
        raise responses.CodedError(codes.NOT_READY)
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise responses.CodedError(
            codes.UNAUTHORIZED, "send 'Authorization: Bearer KEY'"
        )
    key_hash = hashlib.sha256(key.strip().encode()).hexdigest()
    name = context.keys.by_hash.get(key_hash)
    if name is None:
        raise responses.CodedError(codes.UNAUTHORIZED)
    return name, context.document.workspaces[name]


def find_service(
    context: context_lib.InstanceContext,
    workspace: document.Workspace,
    name: str,
    kind: str,
) -> document.Service:
    """Returns a service that the workspace may call.

    Raises:
        responses.CodedError: There is none of that name and kind; services
            of other workspaces are not told apart from missing ones.
    """
    service = context.document.services.get(name)
    if (
        service is None
        or name not in workspace.services
        or service.kind != kind
    ):
        allowed = [
            other
            for other in workspace.services
            if context.document.services[other].kind == kind
        ]
        raise responses.CodedError(
            codes.NOT_FOUND,
            f"service {name[:80]!r} is not one of: "
            f"{', '.join(sorted(allowed)) or '(none)'}",
        )
    return service


def find_rule(
    context: context_lib.InstanceContext, service: str, path: str, method: str
) -> document.Rule | None:
    """Returns the rule with the longest matching path, or None."""
    matching = [
        rule
        for rule in context.document.rules.values()
        if rule.service == service
        and path.startswith(rule.path)
        and (not rule.methods or method in rule.methods)
    ]
    return max(matching, key=lambda rule: len(rule.path), default=None)


def _positive_int(body: dict, name: str, default: int, largest: int) -> int:
    value = body.get(name, default)
    if type(value) is not int or not 1 <= value <= largest:
        raise responses.CodedError(
            codes.BAD_FIELD,
            f"{name}: {value!r} must be a whole number from 1 to {largest}",
        )
    return value


def _prompt_of(body: dict, chat: bool) -> bytes:
    if not chat:
        prompt = body.get("prompt")
        if not isinstance(prompt, str) or not prompt:
            raise responses.CodedError(
                codes.BAD_FIELD, "prompt: must be a text, not empty"
            )
        return _encode(prompt)
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise responses.CodedError(
            codes.BAD_FIELD, "messages: must be a list, not empty"
        )
    parts = []
    for position, message in enumerate(messages):
        if not isinstance(message, dict) or not all(
            isinstance(message.get(name), str) for name in ("role", "content")
        ):
            raise responses.CodedError(
                codes.BAD_FIELD,
                f"messages[{position}]: needs texts 'role' and 'content'",
            )
        parts.append(f"<{message['role']}>{message['content']}\n")
    return _encode("".join(parts))


def _encode(text: str) -> bytes:
    try:
        return text.encode()
    except UnicodeEncodeError:
        raise responses.CodedError(
            codes.BAD_ENCODING, "the text has lone surrogates"
        ) from None


def parse_model_call(
    context: context_lib.InstanceContext,
    workspace_name: str,
    body: dict,
    *,
    chat: bool,
) -> ModelCall:
    """Builds a call from a decoded body.

    Args:
        context: The instance's state.
        workspace_name: The caller's workspace.
        body: Decoded JSON object.
        chat: Whether it has the chat shape.

    Returns:
        The call, bound to the weight version in force.

    Raises:
        responses.CodedError: A field is wrong.
    """
    workspace = context.document.workspaces[workspace_name]
    name = body.get("model")
    if not isinstance(name, str):
        raise responses.CodedError(
            codes.BAD_FIELD, "model: must name a service"
        )
    service = find_service(context, workspace, name, "model")
    model = context.document.models[service.model]
    prompt = _prompt_of(body, chat)
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise responses.CodedError(
            codes.BAD_FIELD, "stream: must be true or false"
        )
    class_name = body.get("class", "interactive")
    if class_name not in context.document.limits.class_weights:
        choices = ", ".join(sorted(context.document.limits.class_weights))
        raise responses.CodedError(
            codes.BAD_FIELD, f"class: {class_name!r} is not one of: {choices}"
        )
    now = context_lib.monotonic()
    salt = kept.cache_salt(workspace.cache_secret, name)
    return ModelCall(
        request_id=new_request_id(workspace.cache_secret),
        workspace=workspace_name,
        service=name,
        model=service.model,
        versions=[
            model.current,
            *(name for name in model.versions if name != model.current),
        ],
        class_name=class_name,
        prompt=prompt,
        max_tokens=_positive_int(
            body, "max_tokens", DEFAULT_MAX_TOKENS, LARGEST_MAX_TOKENS
        ),
        stream=stream,
        chat=chat,
        salt=salt,
        deadline=now + service.timeout_s,
        received_at=now,
        body=body,
        repeatable=service.repeatable and body.get("repeatable", True) is True,
        fingerprint=calls.fingerprint(workspace_name, prompt),
    )
