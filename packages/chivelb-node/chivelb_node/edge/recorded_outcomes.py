"""Outcomes of claimed calls, as recorded by the claim keepers."""

from chivelb_core import codes
import msgspec

_CODES_BY_NUMBER = {code.number: code for code in codes.ALL}


class RecordedOutcome(msgspec.Struct, array_like=True):
    """Outcome of a claimed call.

    Attributes:
        code: Number of the result code.
        detail: Detail of the error, if the call failed.
        status: HTTP status of a plain service's response.
        headers: Headers of a plain service's response.
        body: The answer, or None if it was too large to store.
        tokens: Number of tokens in a model's answer.
    """

    code: int
    detail: str = ""
    status: int = 200
    headers: dict[str, str] = {}
    body: bytes | None = None
    tokens: int = 0

    @property
    def result_code(self) -> codes.ResultCode:
        """The result code with this number."""
        return _CODES_BY_NUMBER[self.code]


def encode_outcome(outcome: RecordedOutcome) -> bytes:
    """Encodes an outcome."""
    return msgspec.msgpack.encode(outcome)


def decode_outcome(data: bytes) -> RecordedOutcome:
    """Decodes an outcome."""
    return msgspec.msgpack.decode(data, type=RecordedOutcome)
