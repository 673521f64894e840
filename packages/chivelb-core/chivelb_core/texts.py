"""Texts from outside that go into logs and messages."""


def escape_unencodable(text: str) -> str:
    """Returns a text with escapes for characters that are not Unicode text.

    Bytes of a head that are no UTF-8 are decoded as such characters; encoding
    them is an error.
    """
    return text.encode("utf-8", "backslashreplace").decode()
