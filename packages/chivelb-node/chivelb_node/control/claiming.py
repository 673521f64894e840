"""Claims a request key at the keepers before a call is dispatched."""

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

NOTE_TIMEOUT_S = 1.5
SPLIT_RETRIES = 5
SPLIT_PAUSE_S = 0.03
NOTE_RETRIES = 20
NOTE_PAUSE_S = 1.0
MAX_KEY_LENGTH = 200
MAX_KEPT_OUTCOME_BYTES = 65_536
_log = logs.get_logger("claims")


@dataclasses.dataclass(slots=True)
class Claim:
    """A key granted to one arrival of a request.

    Attributes:
        key: Digest of workspace and request key.
        claim_id: Id of this arrival.
    """

    key: str
    claim_id: str


class ClaimClient(mode.Service):
    """Claims, releases and settles keys at a majority of the keepers.

    Attributes:
        context: Aggregates of the instance.
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
            request_key: The caller's key for the request.
            body: What identifies the request's content.

        Returns:
            The claim, with which the call may be dispatched once; or the
            encoded outcome of an earlier arrival.

        Raises:
            responses.CodedError: The key is held without an outcome, was
                used for another request, or has no majority of keepers.
        """
        if not 0 < len(request_key) <= MAX_KEY_LENGTH:
            raise responses.CodedError(
                codes.BAD_FIELD,
                f"Idempotency-Key: must have 1 to {MAX_KEY_LENGTH} letters",
            )
        if not self.keepers:
            raise responses.CodedError(
                codes.CLAIM_UNAVAILABLE, "no claim keeper is configured"
            )
        key = _digest(workspace.encode(), request_key.encode())
        digest = _digest(body)
        for attempt in range(SPLIT_RETRIES):
            request = claim_messages.ClaimRequest(
                key, digest, secrets.token_hex(12)
            )
            claim_round = await self._ask(request)
            if claim_round.verdict() is not claims.Verdict.SPLIT:
                break
            self._give_up(claim_round)
            pause_s = SPLIT_PAUSE_S * (attempt + self.context.rng.random())
            await asyncio.sleep(pause_s)
        return self._conclude(claim_round)

    def _conclude(self, claim_round: claims.ClaimRound) -> Claim | bytes:
        request = claim_round.request
        verdict = claim_round.verdict()
        if verdict is claims.Verdict.GRANTED:
            return Claim(request.key, request.claim_id)
        self._give_up(claim_round)
        match verdict:
            case claims.Verdict.SETTLED:
                return claim_round.settled().outcome
            case claims.Verdict.KEY_REUSED:
                raise responses.CodedError(codes.KEY_REUSED)
            case claims.Verdict.HELD:
                raise responses.CodedError(codes.CLAIM_IN_PROGRESS)
        raise responses.CodedError(codes.CLAIM_UNAVAILABLE)

    async def _ask(
        self, request: claim_messages.ClaimRequest
    ) -> claims.ClaimRound:
        claim_round = claims.ClaimRound(
            request, frozenset(self.keepers), context_lib.monotonic()
        )
        tasks = {
            asyncio.create_task(
                self.hub.request(name, request, claims.ROUND_LIFE_S)
            ): name
            for name in self.keepers
        }
        pending = set(tasks)
        while pending and claim_round.verdict() is claims.Verdict.PENDING:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                reply = task.result()
                if isinstance(reply, claim_messages.ClaimReply):
                    claim_round.take(reply, context_lib.monotonic())
                else:
                    claim_round.miss(tasks[task])
        for task in pending:
            # Left running: a keeper that is slow still gets the claim.
            task.add_done_callback(_ignore_result)
        return claim_round

    def _give_up(self, claim_round: claims.ClaimRound) -> None:
        """Frees what a round was granted; nothing was dispatched."""
        request = claim_round.request
        self.release(Claim(request.key, request.claim_id))

    def release(self, claim: Claim) -> None:
        """States that the claim's call never ran and never will."""
        self._note(claim_messages.ClaimRelease(claim.key, claim.claim_id))

    async def settle(self, claim: Claim, outcome: bytes) -> None:
        """Records the claim's outcome at a majority of the keepers.

        Args:
            claim: The claim.
            outcome: The encoded outcome.
        """
        body = claim_messages.ClaimSettle(claim.key, claim.claim_id, outcome)
        majority = len(self.keepers) // 2 + 1
        tasks = [self._note_at(name, body) for name in self.keepers]
        done = 0
        for finished in asyncio.as_completed(
            [asyncio.ensure_future(task) for task in tasks]
        ):
            done += await finished
            if done >= majority:
                return

    def _note(self, body: object) -> None:
        for name in self.keepers:
            self.add_future(self._repeat(name, body))

    async def _note_at(self, name: str, body: object) -> bool:
        reply = await self.hub.request(name, body, NOTE_TIMEOUT_S)
        if isinstance(reply, claim_messages.ClaimAck):
            return True
        self.add_future(self._repeat(name, body))
        return False

    async def _repeat(self, name: str, body: object) -> None:
        """Repeats a note until its keeper has synced it, within bounds."""
        for _ in range(NOTE_RETRIES):
            reply = await self.hub.request(name, body, NOTE_TIMEOUT_S)
            if isinstance(reply, claim_messages.ClaimAck):
                return
            await self.sleep(NOTE_PAUSE_S)


def _ignore_result(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=20)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
