"""Authenticates callers and parses their requests into typed calls."""

import dataclasses
import hashlib
import hmac
import secrets

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import document
from chivelb_core import kv_cache
from chivelb_core import targets
from chivelb_core.document import regions as regions_lib
from chivelb_core.kv_cache import keys as keys_lib

from chivelb_node import context as context_lib
from chivelb_node.edge import responses

DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_LIMIT = 32_768
MAX_KEY_LENGTH = 200


@dataclasses.dataclass(slots=True)
class ModelCall:
    """A model call that this instance is serving.

    Attributes:
        request_id: Request id that is returned to the caller.
        workspace: Name of the workspace.
        service: Name of the service.
        model: Name of the service's model.
        versions: Weight versions that may serve the call, the current one
            first.
        class_name: Scheduling class.
        prompt: UTF-8 prompt.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether the caller requested server-sent events.
        chat: Whether the answer has the chat completion format.
        salt: KV cache salt of the workspace and service.
        deadline: Monotonic time at which the call is abandoned, in seconds.
        received_at: Monotonic time at which the call arrived, in seconds.
        body: The decoded body, for fields that are forwarded unchanged.
        repeatable: Whether the call may run more than once.
        fingerprint: Digest of workspace and prompt.
        key_cache: KV cache block keys by weight version, computed on demand.
        holdings: Number of leading blocks that each target has cached, by
            identity.
        reuse_probability: Probability that the prompt prefix is used again; an
            initial value until the owner of its directory shard has replied.
        tried: Targets on which an attempt of the call has failed.
        software_version: Software version that a target must have to continue
            the answer; None if the answer has not begun.
        regions: Regions whose targets it may use; None for all.
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
    reuse_probability: float = 0.3
    tried: set[str] = dataclasses.field(default_factory=set)
    software_version: str | None = None
    regions: frozenset[str] | None = None

    def may_go_to(self, record: targets.TargetRecord) -> bool:
        """Returns whether a target has versions that may serve the call."""
        return record.weight_version in self.versions and (
            self.software_version in (None, record.software_version)
        )

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of tokens in the prompt."""
        return keys_lib.count_tokens(self.prompt)

    @property
    def total_tokens(self) -> int:
        """Maximum number of KV cache tokens that the call can occupy."""
        return self.prompt_tokens + self.max_tokens

    def keys(self, version: str) -> list[str]:
        """Returns the prompt's KV cache block keys for a weight version."""
        block_keys = self.key_cache.get(version)
        if block_keys is None:
            block_keys = kv_cache.block_keys(self.salt, version, self.prompt)
            self.key_cache[version] = block_keys
        return block_keys

    @property
    def anchor(self) -> str:
        """Key of the block that selects the prompt's directory shard and store.

        Empty if the prompt is shorter than one block.
        """
        keys = self.keys(self.versions[0])
        return kv_cache.anchor_key(keys) if keys else ""


def new_request_id(cache_secret: str) -> str:
    """Returns a random request id signed with the workspace's secret.

    It has 16 hex digits of a nonce and 8 of the signature.
    """
    nonce = secrets.token_hex(8)
    return nonce + _sign(cache_secret, nonce)


def is_request_id_of_workspace(request_id: str, cache_secret: str) -> bool:
    """Returns whether a request id was issued to the workspace."""
    if len(request_id) != 24:
        return False
    signature = _sign(cache_secret, request_id[:16])
    return hmac.compare_digest(signature, request_id[16:])


def _sign(cache_secret: str, nonce: str) -> str:
    digest = hmac.new(bytes.fromhex(cache_secret), nonce.encode(), "sha256")
    return digest.hexdigest()[:8]


def authenticate(
    context: context_lib.InstanceContext, authorization: str
) -> tuple[str, document.Workspace]:
    """Finds the workspace of a bearer token.

    Args:
        context: Shared state of the instance.
        authorization: Value of the Authorization header.

    Returns:
        Name and definition of the workspace.

    Raises:
        responses.RequestError: The instance is not ready, or the key is missing
            or unknown.
    """
    if not context.ready:
        raise responses.RequestError(codes.NOT_READY)
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise responses.RequestError(
            codes.UNAUTHORIZED, "send 'Authorization: Bearer KEY'"
        )
    key_hash = hashlib.sha256(key.strip().encode()).hexdigest()
    name = context.keys.workspace_by_key_hash.get(key_hash)
    if name is None:
        raise responses.RequestError(codes.UNAUTHORIZED)
    return name, context.document.workspaces[name]


def find_service(
    context: context_lib.InstanceContext,
    workspace: document.Workspace,
    name: str,
    kind: str,
) -> document.Service:
    """Returns a service that the workspace may call.

    Raises:
        responses.RequestError: The workspace has no service of that name and
            kind. The error is the same for services of other workspaces, so
            that it does not reveal their existence.
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
        raise responses.RequestError(
            codes.NOT_FOUND,
            f"service {name[:80]!r} is not one of: "
            f"{', '.join(sorted(allowed)) or '(none)'}",
        )
    return service


def find_rule(
    context: context_lib.InstanceContext, service: str, path: str, method: str
) -> document.CallRule | None:
    """Returns the rule with the longest matching path, or None."""
    matching = [
        rule
        for rule in context.document.rules.values()
        if rule.service == service
        and path.startswith(rule.path)
        and (not rule.methods or method in rule.methods)
    ]
    return max(matching, key=lambda rule: len(rule.path), default=None)


def _positive_int(body: dict, name: str, default: int, maximum: int) -> int:
    value = body.get(name, default)
    if type(value) is not int or not 1 <= value <= maximum:
        raise responses.RequestError(
            codes.BAD_FIELD,
            f"{name}: {value!r} must be an integer from 1 to {maximum}",
        )
    return value


def _extract_prompt(body: dict, chat: bool) -> bytes:
    if not chat:
        prompt = body.get("prompt")
        if not isinstance(prompt, str) or not prompt:
            raise responses.RequestError(
                codes.BAD_FIELD, "prompt: must be a non-empty string"
            )
        return _encode(prompt)
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise responses.RequestError(
            codes.BAD_FIELD, "messages: must be a non-empty list"
        )
    parts = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not all(
            isinstance(message.get(name), str) for name in ("role", "content")
        ):
            raise responses.RequestError(
                codes.BAD_FIELD,
                f"messages[{index}]: requires strings 'role' and 'content'",
            )
        parts.append(f"<{message['role']}>{message['content']}\n")
    return _encode("".join(parts))


def _encode(text: str) -> bytes:
    try:
        return text.encode()
    except UnicodeEncodeError:
        raise responses.RequestError(
            codes.BAD_ENCODING, "the text contains unpaired surrogates"
        ) from None


def parse_model_call(
    context: context_lib.InstanceContext,
    workspace_name: str,
    body: dict,
    *,
    chat: bool,
) -> ModelCall:
    """Builds a model call from a decoded request body.

    Args:
        context: Shared state of the instance.
        workspace_name: Name of the caller's workspace.
        body: Decoded JSON object.
        chat: Whether the body has the chat completion format.

    Returns:
        The call, bound to the weight versions of the document in force.

    Raises:
        responses.RequestError: A field is invalid.
    """
    workspace = context.document.workspaces[workspace_name]
    name = body.get("model")
    if not isinstance(name, str):
        raise responses.RequestError(
            codes.BAD_FIELD,
            "model: must be the name of a service, "
            f"not of type {type(name).__name__}",
        )
    service = find_service(context, workspace, name, "model")
    model = context.document.models[service.model]
    prompt = _extract_prompt(body, chat)
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise responses.RequestError(
            codes.BAD_FIELD,
            "stream: must be true or false, "
            f"not of type {type(stream).__name__}",
        )
    class_name = body.get("class", "interactive")
    if class_name not in context.document.limits.class_weights:
        choices = ", ".join(sorted(context.document.limits.class_weights))
        raise responses.RequestError(
            codes.BAD_FIELD, f"class: {class_name!r} is not one of: {choices}"
        )
    now = context_lib.monotonic()
    salt = kv_cache.cache_salt(workspace.cache_secret, name)
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
            body, "max_tokens", DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT
        ),
        stream=stream,
        chat=chat,
        salt=salt,
        deadline=now + service.timeout_s,
        received_at=now,
        body=body,
        repeatable=service.repeatable and body.get("repeatable", True) is True,
        fingerprint=calls.fingerprint(workspace_name, prompt),
        regions=regions_lib.allowed_regions(workspace.regions),
    )
