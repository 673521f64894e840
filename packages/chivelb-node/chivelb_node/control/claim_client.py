"""Claims idempotency keys at a majority of the claim keepers."""

import asyncio
import dataclasses
import hashlib
import secrets

from chivelb_core import claims
from chivelb_core import codes
from chivelb_core.claims import messages as claim_messages
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs

# An update tells the keepers that a claim is released or settled.
UPDATE_TIMEOUT_S = 1.5
# A claim round is split if concurrent claims of the key got grants from
# different keepers, so that none of them can reach a majority.
SPLIT_RETRIES = 5
SPLIT_BACKOFF_S = 0.03
UPDATE_RETRIES = 20
UPDATE_RETRY_PERIOD_S = 1.0
MAX_KEY_LENGTH = 200
MAX_STORED_OUTCOME_BYTES = 65_536
_log = logs.get_logger("claims")


@dataclasses.dataclass(slots=True)
class Claim:
    """An idempotency key granted to one sending of a request.

    Attributes:
        key: Digest of the workspace and the request key.
        claim_id: Id of this claim. If the caller sends the request again, the
            claim has another id.
    """

    key: str
    claim_id: str


class ClaimClient(mode.Service):
    """Claims, releases and settles keys at the claim keepers.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
    """

    def __init__(
        self, context: context_lib.InstanceContext, hub: hub_lib.Hub
    ) -> None:
        """Creates the client."""
        super().__init__()
        self.context = context
        self.hub = hub

    @property
    def keepers(self) -> list[str]:
        """Names of the claim keepers."""
        control = self.context.settings.control
        if control.keepers:
            return control.keepers
        if self.context.settings.instance.data_dir:
            return [self.context.settings.instance.name]
        return []

    async def claim(
        self, workspace: str, request_key: str, body: bytes
    ) -> Claim | bytes:
        """Claims a request key.

        Args:
            workspace: The caller's workspace.
            request_key: The caller's idempotency key for the request.
            body: Bytes that identify the content of the request.

        Returns:
            The claim, which allows the call to be dispatched once, or the
            encoded outcome of an earlier sending of the request.

        Raises:
            responses.RequestError: The key is claimed without an outcome yet,
                was used for another request, or could not be decided by a
                majority of the keepers.
        """
        if not 0 < len(request_key) <= MAX_KEY_LENGTH:
            raise responses.RequestError(
                codes.BAD_FIELD,
                f"Idempotency-Key: must have 1 to {MAX_KEY_LENGTH} characters, "
                f"not {len(request_key)}",
            )
        if not self.keepers:
            raise responses.RequestError(
                codes.CLAIM_UNAVAILABLE, "no claim keeper is configured"
            )
        key = _digest(workspace.encode(), request_key.encode())
        digest = _digest(body)
        for attempt in range(SPLIT_RETRIES):
            request = claim_messages.ClaimRequest(
                key, digest, secrets.token_hex(12)
            )
            claim_round = await self._run_round(request)
            if claim_round.result() is not claims.RoundResult.SPLIT:
                break
            self._release_round(claim_round)
            backoff_s = SPLIT_BACKOFF_S * (attempt + self.context.rng.random())
            await asyncio.sleep(backoff_s)
        return self._resolve(claim_round)

    def _resolve(self, claim_round: claims.ClaimRound) -> Claim | bytes:
        request = claim_round.request
        result = claim_round.result()
        if result is claims.RoundResult.GRANTED:
            return Claim(request.key, request.claim_id)
        self._release_round(claim_round)
        match result:
            case claims.RoundResult.SETTLED:
                return claim_round.find_settled_reply().outcome
            case claims.RoundResult.KEY_REUSED:
                raise responses.RequestError(codes.KEY_REUSED)
            case claims.RoundResult.HELD:
                raise responses.RequestError(codes.CLAIM_IN_PROGRESS)
        raise responses.RequestError(codes.CLAIM_UNAVAILABLE)

    async def _run_round(
        self, request: claim_messages.ClaimRequest
    ) -> claims.ClaimRound:
        claim_round = claims.ClaimRound(
            request, frozenset(self.keepers), context_lib.monotonic()
        )
        tasks = {
            asyncio.create_task(
                self.hub.request(name, request, claims.ROUND_TIMEOUT_S)
            ): name
            for name in self.keepers
        }
        pending = set(tasks)
        while pending and claim_round.result() is claims.RoundResult.PENDING:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                reply = task.result()
                if isinstance(reply, claim_messages.ClaimReply):
                    claim_round.add_reply(reply, context_lib.monotonic())
                else:
                    claim_round.stop_awaiting(tasks[task])
        for task in pending:
            # Not cancelled, so that slow keepers receive the claim as well.
            task.add_done_callback(_ignore_result)
        return claim_round

    def _release_round(self, claim_round: claims.ClaimRound) -> None:
        """Releases the claim of a round that led to no dispatch."""
        request = claim_round.request
        self.release(Claim(request.key, request.claim_id))

    def release(self, claim: Claim) -> None:
        """Releases a claim whose call did not run and will never run."""
        self._send_to_all(
            claim_messages.ClaimRelease(claim.key, claim.claim_id)
        )

    async def settle(self, claim: Claim, outcome: bytes) -> None:
        """Records the claim's outcome at a majority of the keepers.

        Args:
            claim: The claim.
            outcome: The encoded outcome of its call.
        """
        body = claim_messages.ClaimSettle(claim.key, claim.claim_id, outcome)
        majority = claims.majority_of(len(self.keepers))
        tasks = [
            self._send_or_schedule_resend(name, body) for name in self.keepers
        ]
        acknowledged = 0
        for finished in asyncio.as_completed(
            [asyncio.ensure_future(task) for task in tasks]
        ):
            acknowledged += await finished
            if acknowledged >= majority:
                return

    def _send_to_all(self, body: object) -> None:
        for name in self.keepers:
            self.add_future(self._send_until_acknowledged(name, body))

    async def _send_or_schedule_resend(self, name: str, body: object) -> bool:
        reply = await self.hub.request(name, body, UPDATE_TIMEOUT_S)
        if isinstance(reply, claim_messages.ClaimAck):
            return True
        self.add_future(self._send_until_acknowledged(name, body))
        return False

    async def _send_until_acknowledged(self, name: str, body: object) -> None:
        """Resends until acknowledged, at most ``UPDATE_RETRIES`` times."""
        for _ in range(UPDATE_RETRIES):
            reply = await self.hub.request(name, body, UPDATE_TIMEOUT_S)
            if isinstance(reply, claim_messages.ClaimAck):
                return
            await self.sleep(UPDATE_RETRY_PERIOD_S)


def _ignore_result(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=20)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
