"""Parses decimal numbers that were received as text."""

# Python's int() refuses texts of more than 4,300 digits, and str.isdigit()
# holds for characters that it can't convert, such as a superscript two.
MAX_DIGITS = 1_000
# Numbers of so many digits fit into 64 bits.
INT64_DIGITS = 18


def parse(text: str | bytes, max_digits: int = INT64_DIGITS) -> int | None:
    """Returns the number that ASCII digits alone spell.

    Args:
        text: The text, with nothing around the digits.
        max_digits: Maximum number of digits, at most ``MAX_DIGITS``.

    Returns:
        The number, or None if the text is none.

    Example:
        >>> parse("42"), parse("²"), parse("-1")
        (42, None, None)
    """
    if not (0 < len(text) <= max_digits and text.isascii() and text.isdigit()):
        return None
    return int(text)
