"""Model calls that run at most once, under an idempotency claim."""

import asyncio
from collections.abc import AsyncIterator

from chivelb_core import codes
import mode

from chivelb_node.control import claim_client
from chivelb_node.edge import model_calls
from chivelb_node.edge import parsing
from chivelb_node.edge import recorded_outcomes
from chivelb_node.edge import responses
from chivelb_node.links import events


class ClaimedCalls(mode.Service):
    """Runs claimed model calls, which continue if the caller disconnects.

    Attributes:
        claims: Client that claims idempotency keys.
        model_calls: Runs model calls.
    """

    def __init__(
        self,
        claims: claim_client.ClaimClient,
        model_executor: model_calls.ModelCalls,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.claims = claims
        self.model_calls = model_executor

    async def run(
        self,
        call: parsing.ModelCall,
        idempotency_key: str,
        progress: model_calls.Progress,
    ) -> AsyncIterator[events.Batch]:
        """Yields the answer of a call that runs at most once.

        Args:
            call: The call.
            idempotency_key: The caller's idempotency key. Without a key the
                call is not deduplicated: it runs at most once per request.
            progress: Updated as the answer is produced.

        Raises:
            responses.RequestError: The call ended before its answer was
                complete.
        """
        if not idempotency_key:
            async for batch in self.model_calls.run(call, progress):
                yield batch
            return
        content = b"/".join(
            (call.service.encode(), str(call.max_tokens).encode(), call.prompt)
        )
        claim = await self.claims.claim(
            call.workspace, idempotency_key, content
        )
        if isinstance(claim, bytes):
            yield _replay(recorded_outcomes.decode_outcome(claim))
            return
        queue: asyncio.Queue = asyncio.Queue()
        self.add_future(self._run_claimed(call, claim, progress, queue))
        while True:
            item = await queue.get()
            if isinstance(item, responses.RequestError):
                raise item
            yield item
            if item.done:
                return

    async def _run_claimed(
        self,
        call: parsing.ModelCall,
        claim: claim_client.Claim,
        progress: model_calls.Progress,
        queue: asyncio.Queue,
    ) -> None:
        chunks: list[bytes] = []
        try:
            async for batch in self.model_calls.run(call, progress):
                chunks.append(batch.data)
                if batch.done:
                    # The outcome must be recorded before the caller sees the
                    # end of the answer.
                    await self._settle(claim, chunks, progress.tokens)
                queue.put_nowait(batch)
        except responses.RequestError as error:
            await resolve_claim(self.claims, claim, error)
            queue.put_nowait(error)
        except Exception:
            error = responses.RequestError(codes.OUTCOME_UNKNOWN)
            queue.put_nowait(error)
            raise

    async def _settle(
        self, claim: claim_client.Claim, chunks: list[bytes], tokens: int
    ) -> None:
        body: bytes | None = b"".join(chunks)
        if len(body) > claim_client.MAX_STORED_OUTCOME_BYTES:
            body = None
        outcome = recorded_outcomes.RecordedOutcome(
            codes.DONE.number, body=body, tokens=tokens
        )
        await self.claims.settle(
            claim, recorded_outcomes.encode_outcome(outcome)
        )


async def resolve_claim(
    claims: claim_client.ClaimClient,
    claim: claim_client.Claim,
    error: responses.RequestError,
) -> None:
    """Releases the claim of a call that did not run, or records its failure.

    A call with an unknown outcome keeps its claim, so that a retry cannot run
    it a second time.
    """
    code = error.error_detail.code
    if code.ran is codes.ExecutionStatus.NOT_RUN:
        claims.release(claim)
    elif code.ran is codes.ExecutionStatus.RAN:
        outcome = recorded_outcomes.RecordedOutcome(
            code.number, error.error_detail.detail
        )
        await claims.settle(claim, recorded_outcomes.encode_outcome(outcome))


def _replay(outcome: recorded_outcomes.RecordedOutcome) -> events.Batch:
    """Returns a recorded answer as one batch.

    Raises:
        responses.RequestError: The call failed or its answer was not stored.
    """
    if outcome.result_code is not codes.DONE:
        raise responses.RequestError(outcome.result_code, outcome.detail)
    if outcome.body is None:
        raise responses.RequestError(codes.ANSWER_NOT_KEPT)
    return events.Batch(outcome.body, outcome.tokens, done=True)
