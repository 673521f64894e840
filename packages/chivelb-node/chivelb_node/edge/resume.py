"""Streams that a caller resumes, at this or another instance."""

from collections.abc import AsyncIterator

import aiohttp
from chivelb_core import codes
from chivelb_core import document
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib

from chivelb_node import context as context_lib
from chivelb_node.edge import model_calls
from chivelb_node.edge import parsing
from chivelb_node.edge import responses
from chivelb_node.links import events
from chivelb_node.links import runners


class ResumedCalls:
    """Finds the runner of an interrupted stream and goes on with it.

    Attributes:
        context: Aggregates of the instance.
        session: Client session for targets.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        session: aiohttp.ClientSession,
    ) -> None:
        """Creates the resumer."""
        self.context = context
        self.session = session

    async def run(
        self,
        call: parsing.ModelCall,
        workspace: document.Workspace,
        last_event: str,
        progress: model_calls.Progress,
    ) -> AsyncIterator[events.Batch]:
        """Yields the batches after the last event that the caller has.

        Args:
            call: The call as sent again.
            workspace: The caller's workspace; streams of others are refused.
            last_event: Value of ``Last-Event-ID``.
            progress: Filled in as the answer goes on.

        Raises:
            responses.CodedError: The stream can't be resumed.
        """
        attempt_id, offset = _parse(last_event)
        request_id, _, tail = attempt_id.partition(".")
        if not parsing.is_own_request_id(request_id, workspace.cache_secret):
            raise responses.CodedError(
                codes.BAD_FIELD, "Last-Event-ID: is not of this workspace"
            )
        call.request_id = request_id
        record = self._find(tail.rpartition(".")[2])
        attempt = runners.RunnerAttempt(
            attempt_id=attempt_id,
            record=record,
            payload=b"",
            version="",
            offset=offset,
            deadline=call.deadline,
        )
        try:
            async for batch in runners.stream_attempt(
                self.session, attempt, dispatched=True
            ):
                if batch.tokens:
                    progress.tokens += batch.tokens
                    progress.batches.append(batch.data)
                if not batch.beat:
                    yield batch
        except attempt_lib.AttemptError as ended:
            raise responses.CodedError(
                codes.OUTCOME_UNKNOWN, ended.outcome.detail
            ) from None

    def _find(self, tag: str) -> targets.TargetRecord:
        for entry in self.context.targets.entries.values():
            if runners.target_tag(entry.record.identity) == tag:
                return entry.record
        raise responses.CodedError(
            codes.OUTCOME_UNKNOWN, "the stream's target is gone"
        )


def _parse(last_event: str) -> tuple[str, int]:
    attempt_id, _, number = last_event.rpartition("/")
    if attempt_id.count(".") != 2 or not number.isascii():
        raise _bad_event(last_event)
    if not number.isdigit() or len(number) > 9:
        raise _bad_event(last_event)
    return attempt_id, int(number) + 1


def _bad_event(last_event: str) -> responses.CodedError:
    return responses.CodedError(
        codes.BAD_FIELD,
        f"Last-Event-ID: {last_event[:80]!r} is no id of an event",
    )
