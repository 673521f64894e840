"""A checking client: sends planned calls and judges each answer."""

import asyncio
import random
import time

import aiohttp
from chivelb_core.kept import keys as keys_lib
import msgspec

from chivelb_cli import samples
from chivelb_cli.bench import records
from chivelb_cli.bench import workloads
from chivelb_cli.lab import answers

CALL_TIMEOUT_S = 90.0
MAX_RESENDS = 4
RESEND_PAUSE_S = 0.3


class CheckingClient:
    """Sends calls to entry instances as a balancer would spread them.

    Attributes:
        urls: Base URLs of the entry instances in use.
        service: Name of the model service.
        plain_service: Name of the plain service.
        versions: Weight versions whose answers are right.
        session: Client session.
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
            session: Client session.
            urls: Base URLs of the entry instances.
            service: Name of the model service.
            plain_service: Name of the plain service.
            versions: Weight versions whose answers are right.
            seed: Seed of the choice of instances.
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
        """Sends a call and returns its record; never raises."""
        record = records.CallRecord(
            at_s,
            call.workspace,
            call.class_name,
            not call.max_tokens,
            call.returns,
            prompt_tokens=keys_lib.count_tokens(call.prompt.encode()),
        )
        started = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if call.max_tokens:
                    await self._complete(call, record, started)
                else:
                    await self._check_in(call, record)
        except TimeoutError:
            record.code = -1
        record.total_s = time.monotonic() - started
        return record

    def _headers(self, workspace: str) -> dict[str, str]:
        key = samples.workspace_key(workspace)
        return {"Authorization": f"Bearer {key}"}

    async def _check_in(
        self, call: workloads.PlannedCall, record: records.CallRecord
    ) -> None:
        """Sends a call that may not be repeated, with its key.

        A lost connection is answered by a resend through another instance,
        as a caller would.
        """
        headers = self._headers(call.workspace)
        headers["Idempotency-Key"] = call.request_key
        for _ in range(MAX_RESENDS):
            url = self._rng.choice(self.urls)
            try:
                async with self.session.post(
                    f"{url}/s/{self.plain_service}/checkin",
                    data=call.prompt.encode(),
                    headers=headers,
                ) as response:
                    body = await response.read()
                    self._judge_plain(call, record, response, body)
                    return
            except aiohttp.ClientError:
                record.resumed += 1
                await asyncio.sleep(RESEND_PAUSE_S)

    def _judge_plain(
        self,
        call: workloads.PlannedCall,
        record: records.CallRecord,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        record.status = response.status
        if response.status != 200:
            self._take_error(record, response, body)
            return
        reply = msgspec.json.decode(body)
        if reply["body"] != call.prompt:
            record.wrong = "another call's answer"
        if reply["workspace"] != call.workspace:
            record.wrong = "another workspace's answer"
        record.code = 0

    def _take_error(
        self,
        record: records.CallRecord,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        record.status = response.status
        code = response.headers.get("X-Result-Code")
        record.code = int(code) if code else -1
        after = response.headers.get("Retry-After")
        record.retry_after_s = float(after) if after else None

    async def _complete(
        self,
        call: workloads.PlannedCall,
        record: records.CallRecord,
        started: float,
    ) -> None:
        stream = _Stream(call.max_tokens, started)
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
        for _ in range(MAX_RESENDS):
            headers = self._headers(call.workspace)
            if stream.last_id:
                headers["Last-Event-ID"] = stream.last_id
            try:
                async with self.session.post(
                    f"{url}/v1/completions", data=body, headers=headers
                ) as response:
                    if response.status != 200:
                        self._take_error(
                            record, response, await response.read()
                        )
                    else:
                        record.status = 200
                        await stream.read(response)
                        record.code = stream.code
                    break
            except aiohttp.ClientError:
                # The instance died: resend, and resume if tokens came.
                record.resumed += 1
                await asyncio.sleep(RESEND_PAUSE_S)
                url = self._rng.choice(self.urls)
        self._judge(call, record, stream)

    def _judge(
        self,
        call: workloads.PlannedCall,
        record: records.CallRecord,
        stream: "_Stream",
    ) -> None:
        record.first_token_s = stream.first_token_s
        record.gap_s = stream.gap_s
        record.tokens = len(stream.texts)
        record.cached_tokens = stream.cached_tokens
        if stream.wrong:
            record.wrong = stream.wrong
            return
        salt = samples.workspace_salt(call.workspace, self.service)
        prompt = call.prompt.encode()
        text = "".join(stream.texts)
        rights = [
            answers.answer_text(salt, version, prompt, call.max_tokens)
            for version in self.versions
        ]
        if record.code == 0 and text not in rights:
            record.wrong = "not the whole right answer"
        elif not any(right.startswith(text) for right in rights):
            record.wrong = "a part that is not of the right answer"


class _Stream:
    """Reads one answer, over several connections if need be."""

    def __init__(self, max_tokens: int, started: float) -> None:
        self.texts: list[str] = []
        self.last_id = ""
        self.code = -1
        self.wrong = ""
        self.first_token_s: float | None = None
        self.gap_s = 0.0
        self.cached_tokens = 0
        self._max_tokens = max_tokens
        self._started = started
        self._last_at = started
        self._position = -1

    async def read(self, response: aiohttp.ClientResponse) -> None:
        async for line in response.content:
            if line.startswith(b"id: "):
                self.last_id = line[4:].strip().decode()
                self._position = int(self.last_id.rpartition("/")[2])
            elif line.startswith(b"data: {"):
                self._take(msgspec.json.decode(line[6:]))
            elif line.startswith(b"data: [DONE]"):
                self.code = 0
        if self.code == -1:
            raise aiohttp.ClientPayloadError("the stream broke off")

    def _take(self, event: dict) -> None:
        if "error" in event:
            self.code = event["error"]["code"]
            return
        if self._position != len(self.texts):
            self.wrong = f"token {self._position} after {len(self.texts)}"
        now = time.monotonic()
        if self.first_token_s is None:
            self.first_token_s = now - self._started
        else:
            self.gap_s = max(self.gap_s, now - self._last_at)
        self._last_at = now
        self.texts.append(event["choices"][0]["text"])
        usage = event.get("usage")
        if usage:
            self.cached_tokens = usage["cached_tokens"]
