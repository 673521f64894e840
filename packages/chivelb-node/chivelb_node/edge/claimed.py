"""Model calls that may not be repeated: claimed, run once, recorded."""

import asyncio
from collections.abc import AsyncIterator

from chivelb_core import codes
import mode

from chivelb_node.control import claiming
from chivelb_node.edge import model_calls
from chivelb_node.edge import outcomes
from chivelb_node.edge import parsing
from chivelb_node.edge import responses
from chivelb_node.links import events


class ClaimedCalls(mode.Service):
    """Runs claimed model calls; a caller's leaving does not stop them.

    Attributes:
        claims: Claims request keys.
        model_calls: Runs model calls.
    """

    def __init__(
        self, claims: claiming.ClaimClient, runner: model_calls.ModelCalls
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.claims = claims
        self.model_calls = runner

    async def run(
        self,
        call: parsing.ModelCall,
        request_key: str,
        progress: model_calls.Progress,
    ) -> AsyncIterator[events.Batch]:
        """Yields the answer of a call that runs at most once.

        Args:
            call: The call.
            request_key: The caller's key; without one the call runs at most
                once for this arrival.
            progress: Filled in as the answer goes on.

        Raises:
            responses.CodedError: The call ended without its whole answer.
        """
        if not request_key:
            async for batch in self.model_calls.run(call, progress):
                yield batch
            return
        content = b"/".join(
            (call.service.encode(), str(call.max_tokens).encode(), call.prompt)
        )
        claim = await self.claims.claim(call.workspace, request_key, content)
        if isinstance(claim, bytes):
            yield _repeat(outcomes.decode_outcome(claim))
            return
        queue: asyncio.Queue = asyncio.Queue()
        self.add_future(self._work(call, claim, progress, queue))
        while True:
            item = await queue.get()
            if isinstance(item, responses.CodedError):
                raise item
            yield item
            if item.done:
                return

    async def _work(
        self,
        call: parsing.ModelCall,
        claim: claiming.Claim,
        progress: model_calls.Progress,
        queue: asyncio.Queue,
    ) -> None:
        parts: list[bytes] = []
        try:
            async for batch in self.model_calls.run(call, progress):
                parts.append(batch.data)
                if batch.done:
                    # Recorded before the caller sees the end of it.
                    await self._settle(claim, parts, progress.tokens)
                queue.put_nowait(batch)
        except responses.CodedError as error:
            await end_claim(self.claims, claim, error)
            queue.put_nowait(error)
        except Exception:
            error = responses.CodedError(codes.OUTCOME_UNKNOWN)
            queue.put_nowait(error)
            raise

    async def _settle(
        self, claim: claiming.Claim, parts: list[bytes], tokens: int
    ) -> None:
        body: bytes | None = b"".join(parts)
        if len(body) > claiming.MAX_KEPT_OUTCOME_BYTES:
            body = None
        outcome = outcomes.RecordedOutcome(
            codes.DONE.number, body=body, tokens=tokens
        )
        await self.claims.settle(claim, outcomes.encode_outcome(outcome))


async def end_claim(
    claims: claiming.ClaimClient,
    claim: claiming.Claim,
    error: responses.CodedError,
) -> None:
    """Frees the claim of a call that did not run, or records its failure.

    A call with an unknown outcome keeps its claim: nobody may run it again.
    """
    code = error.fault.code
    if code.ran is codes.Ran.NOT_RUN:
        claims.release(claim)
    elif code.ran is codes.Ran.RAN:
        outcome = outcomes.RecordedOutcome(code.number, error.fault.detail)
        await claims.settle(claim, outcomes.encode_outcome(outcome))


def _repeat(outcome: outcomes.RecordedOutcome) -> events.Batch:
    """Returns a recorded answer as one batch.

    Raises:
        responses.CodedError: It ended with a fault or was not kept.
    """
    if outcome.result is not codes.DONE:
        raise responses.CodedError(outcome.result, outcome.detail)
    if outcome.body is None:
        raise responses.CodedError(codes.ANSWER_NOT_KEPT)
    return events.Batch(outcome.body, outcome.tokens, done=True)
