"""Outcomes of claimed calls, as the keepers record them."""

from chivelb_core import codes
import msgspec

_BY_NUMBER = {code.number: code for code in codes.ALL}


class RecordedOutcome(msgspec.Struct, array_like=True):
    """How a claimed call ended.

    Attributes:
        code: Number of the result code.
        detail: Detail of a fault.
        status: HTTP status of a plain service's answer.
        headers: Its headers.
        body: The answer, or None when it is too large to keep.
        tokens: Number of tokens of a model's answer.
    """

    code: int
    detail: str = ""
    status: int = 200
    headers: dict[str, str] = {}
    body: bytes | None = None
    tokens: int = 0

    @property
    def result(self) -> codes.ResultCode:
        """The row of the result code table."""
        return _BY_NUMBER[self.code]


def encode_outcome(outcome: RecordedOutcome) -> bytes:
    """Encodes an outcome."""
    return msgspec.msgpack.encode(outcome)


def decode_outcome(data: bytes) -> RecordedOutcome:
    """Decodes an outcome."""
    return msgspec.msgpack.decode(data, type=RecordedOutcome)
