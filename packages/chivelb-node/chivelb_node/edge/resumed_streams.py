"""Resumes interrupted streams, including those of other instances.

An event id is ``ATTEMPT_ID/SEQUENCE``, where an attempt id is
``REQUEST_ID.ATTEMPT_NUMBER.TARGET_TAG``; the tag is a digest of the identity of
the target.
"""

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


class ResumedStreams:
    """Resumes interrupted streams from the targets that produce them.

    Attributes:
        context: Shared state of the instance.
        session: HTTP client session for targets.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        session: aiohttp.ClientSession,
    ) -> None:
        """Creates an object that resumes streams."""
        self.context = context
        self.session = session

    async def run(
        self,
        call: parsing.ModelCall,
        workspace: document.Workspace,
        last_event_id: str,
        progress: model_calls.Progress,
    ) -> AsyncIterator[events.Batch]:
        """Yields the event batches after the last one that the caller received.

        Args:
            call: The call, as repeated by the caller.
            workspace: The caller's workspace; streams of other workspaces are
                rejected.
            last_event_id: Value of ``Last-Event-ID``.
            progress: Updated as the answer is produced.

        Raises:
            responses.RequestError: The stream cannot be resumed.
        """
        attempt_id, offset = _parse_event_id(last_event_id)
        request_id, _, attempt_suffix = attempt_id.partition(".")
        if not parsing.is_request_id_of_workspace(
            request_id, workspace.cache_secret
        ):
            raise responses.RequestError(
                codes.BAD_FIELD,
                "Last-Event-ID was not issued to this workspace",
            )
        call.request_id = request_id
        record = self._find_target(attempt_suffix.rpartition(".")[2])
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
                self.session, attempt, resume_only=True
            ):
                if batch.tokens:
                    progress.tokens += batch.tokens
                    progress.batches.append(batch.data)
                if not batch.is_heartbeat:
                    yield batch
        except attempt_lib.AttemptError as error:
            raise responses.RequestError(
                codes.OUTCOME_UNKNOWN, error.outcome.detail
            ) from None

    def _find_target(self, tag: str) -> targets.TargetRecord:
        for entry in self.context.targets.entries.values():
            if runners.short_target_id(entry.record.identity) == tag:
                return entry.record
        raise responses.RequestError(
            codes.OUTCOME_UNKNOWN,
            f"the target of the stream, with tag {tag!r}, is no longer known",
        )


def _parse_event_id(last_event_id: str) -> tuple[str, int]:
    attempt_id, _, sequence = last_event_id.rpartition("/")
    if attempt_id.count(".") != 2 or not sequence.isascii():
        raise _invalid_event_id(last_event_id)
    if not sequence.isdigit() or len(sequence) > 9:
        raise _invalid_event_id(last_event_id)
    return attempt_id, int(sequence) + 1


def _invalid_event_id(last_event_id: str) -> responses.RequestError:
    return responses.RequestError(
        codes.BAD_FIELD,
        f"Last-Event-ID: {last_event_id[:80]!r} is not a valid event id",
    )
