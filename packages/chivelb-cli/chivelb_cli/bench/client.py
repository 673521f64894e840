"""Client that sends planned calls and verifies each response."""

import asyncio
import random
import time

import aiohttp
from chivelb_core.kv_cache import keys as keys_lib
import msgspec

from chivelb_cli import samples
from chivelb_cli.bench import records
from chivelb_cli.bench import workloads
from chivelb_cli.lab import expected_output

CALL_TIMEOUT_S = 90.0
MAX_SENDS = 4
RESEND_DELAY_S = 0.3


class VerifyingClient:
    """Sends each call to a random instance, as an upstream balancer would.

    Attributes:
        urls: Base URLs of the active instances.
        service: Name of the model service.
        plain_service: Name of the plain (non-model) service.
        versions: Weight versions whose output is accepted.
        session: HTTP session.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: list[str],
        *,
        service: str,
        plain_service: str,
        versions: list[str],
        seed: int,
    ) -> None:
        """Creates a client.

        Args:
            session: HTTP session.
            urls: Base URLs of the active instances.
            service: Name of the model service.
            plain_service: Name of the plain (non-model) service.
            versions: Weight versions whose output is accepted.
            seed: Seed of the random choice of instances.
        """
        self.session = session
        self.urls = urls
        self.service = service
        self.plain_service = plain_service
        self.versions = versions
        self._rng = random.Random(seed)

    async def send(
        self, call: workloads.PlannedCall, at_s: float
    ) -> records.CallRecord:
        """Sends a call and verifies the response.

        Time-outs and lost connections don't raise; the record shows them.

        Args:
            call: The call.
            at_s: Time of sending, in seconds after the start of the run.

        Returns:
            The record of the call.
        """
        record = records.CallRecord(
            at_s,
            call.workspace,
            call.class_name,
            not call.max_tokens,
            call.returns,
            prompt_tokens=keys_lib.count_tokens(call.prompt.encode()),
        )
        start_time = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if call.max_tokens:
                    await self._send_completion(call, record, start_time)
                else:
                    await self._send_plain(call, record)
        except TimeoutError:
            record.code = -1
        record.total_s = time.monotonic() - start_time
        return record

    def _headers(self, workspace: str) -> dict[str, str]:
        key = samples.workspace_key(workspace)
        return {"Authorization": f"Bearer {key}"}

    async def _send_plain(
        self, call: workloads.PlannedCall, record: records.CallRecord
    ) -> None:
        """Sends a non-idempotent call with its idempotency key.

        After a lost connection the call is sent again with the same key
        through a randomly chosen instance, as a caller would do.
        """
        headers = self._headers(call.workspace)
        headers["Idempotency-Key"] = call.request_key
        for _ in range(MAX_SENDS):
            url = self._rng.choice(self.urls)
            try:
                async with self.session.post(
                    f"{url}/s/{self.plain_service}/checkin",
                    data=call.prompt.encode(),
                    headers=headers,
                ) as response:
                    body = await response.read()
                    self._verify_plain_response(call, record, response, body)
                    return
            except aiohttp.ClientError:
                record.resumed += 1
                await asyncio.sleep(RESEND_DELAY_S)

    def _verify_plain_response(
        self,
        call: workloads.PlannedCall,
        record: records.CallRecord,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        record.status = response.status
        if response.status != 200:
            self._record_error(record, response, body)
            return
        echo = msgspec.json.decode(body)
        if echo["body"] != call.prompt:
            record.wrong = "response echoes the body of another call"
        if echo["workspace"] != call.workspace:
            record.wrong = "response echoes another workspace"
        record.code = 0

    def _record_error(
        self,
        record: records.CallRecord,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        record.status = response.status
        code = response.headers.get("X-Result-Code")
        record.code = int(code) if code else -1
        retry_after = response.headers.get("Retry-After")
        record.retry_after_s = float(retry_after) if retry_after else None

    async def _send_completion(
        self,
        call: workloads.PlannedCall,
        record: records.CallRecord,
        start_time: float,
    ) -> None:
        stream = _CompletionStream(call.max_tokens, start_time)
        url = self._rng.choice(self.urls)
        body = msgspec.json.encode(
            {
                "model": self.service,
                "prompt": call.prompt,
                "max_tokens": call.max_tokens,
                "stream": True,
                "class": call.class_name,
            }
        )
        for _ in range(MAX_SENDS):
            headers = self._headers(call.workspace)
            if stream.last_event_id:
                headers["Last-Event-ID"] = stream.last_event_id
            try:
                async with self.session.post(
                    f"{url}/v1/completions", data=body, headers=headers
                ) as response:
                    if response.status != 200:
                        self._record_error(
                            record, response, await response.read()
                        )
                    else:
                        record.status = 200
                        await stream.read(response)
                        record.code = stream.code
                    break
            except aiohttp.ClientError:
                # The connection to the instance was lost. Send the call
                # again, and resume the stream if tokens have arrived.
                record.resumed += 1
                await asyncio.sleep(RESEND_DELAY_S)
                url = self._rng.choice(self.urls)
        self._verify_completion(call, record, stream)

    def _verify_completion(
        self,
        call: workloads.PlannedCall,
        record: records.CallRecord,
        stream: "_CompletionStream",
    ) -> None:
        record.first_token_s = stream.first_token_s
        record.gap_s = stream.gap_s
        record.tokens = len(stream.token_texts)
        record.cached_tokens = stream.cached_tokens
        if stream.wrong:
            record.wrong = stream.wrong
            return
        salt = samples.workspace_salt(call.workspace, self.service)
        prompt = call.prompt.encode()
        text = "".join(stream.token_texts)
        expected_texts = [
            expected_output.expected_text(
                salt, version, prompt, call.max_tokens
            )
            for version in self.versions
        ]
        if record.code == 0 and text not in expected_texts:
            record.wrong = "complete response differs from the expected text"
        elif not any(expected.startswith(text) for expected in expected_texts):
            record.wrong = (
                "partial response is not a prefix of the expected text"
            )


class _CompletionStream:
    """Streamed response of one call, read over one or more connections."""

    def __init__(self, max_tokens: int, start_time: float) -> None:
        self.token_texts: list[str] = []
        self.last_event_id = ""
        self.code = -1
        self.wrong = ""
        self.first_token_s: float | None = None
        self.gap_s = 0.0
        self.cached_tokens = 0
        self._max_tokens = max_tokens
        self._start_time = start_time
        self._last_token_at = start_time
        self._event_index = -1

    async def read(self, response: aiohttp.ClientResponse) -> None:
        async for line in response.content:
            if line.startswith(b"id: "):
                self.last_event_id = line[4:].strip().decode()
                self._event_index = int(self.last_event_id.rpartition("/")[2])
            elif line.startswith(b"data: {"):
                self._handle_event(msgspec.json.decode(line[6:]))
            elif line.startswith(b"data: [DONE]"):
                self.code = 0
        if self.code == -1:
            raise aiohttp.ClientPayloadError(
                "stream ended without [DONE] or an error event"
            )

    def _handle_event(self, event: dict) -> None:
        if "error" in event:
            self.code = event["error"]["code"]
            return
        if self._event_index != len(self.token_texts):
            self.wrong = (
                f"token index {self._event_index}, "
                f"expected {len(self.token_texts)}"
            )
        now = time.monotonic()
        if self.first_token_s is None:
            self.first_token_s = now - self._start_time
        else:
            self.gap_s = max(self.gap_s, now - self._last_token_at)
        self._last_token_at = now
        self.token_texts.append(event["choices"][0]["text"])
        usage = event.get("usage")
        if usage:
            self.cached_tokens = usage["cached_tokens"]
