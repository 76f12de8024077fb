"""Reads data that other programs wrote: rows, files, headers, messages, responses.

There is one rule for all of it. Whatever the data is, reading it ends in a value that
the rest of the package can use, or in the one typed error that the reader of this kind
names; the errors of parsers, which are of many types, don't get out.
"""

import contextlib
import json
import math
import re
import typing as t

from .errors import FoxtailsaddleError, UnreadableInputError

# Beyond it, readers of JSON differ about an integer. Sums of a few such numbers fit
# into the 64 bits that they have in messages.
MAX_NUMBER = 2**53 - 1
MAX_TOKENS = 2**31 - 1  # the sum of two fits into 32 bits of a message
MAX_TEXT_BYTES = 200  # of a name or an id
MAX_REASON_CHARS = 200  # of an error in a log line
MAX_CONFIGURED_TEXT_BYTES = 8192  # of a path, a key or a name in a configuration
HEADER_TOKEN = re.compile(r"[\x21-\x7e]+")
Value = t.TypeVar("Value")
DECIMAL_NUMBER = re.compile(rb"\d+(\.\d*)?|\.\d+")
WHOLE_NUMBER = re.compile(rb"[0-9]{1,19}")


@contextlib.contextmanager
def reading(
    what: str, error_type: type[FoxtailsaddleError] = UnreadableInputError
) -> t.Iterator[None]:
    """Raise one type of error in place of any error of a parser.

    :param what: names what is read, for the message.
    """
    try:
        yield
    except error_type:
        raise
    except Exception as error:
        raise error_type(f"{what} can't be read: {_reason(error)}") from error


def read_optional(read: t.Callable[..., Value], *arguments: t.Any) -> Value | None:
    """Return what a reader returns, ``None`` in place of any error."""
    try:
        return read(*arguments)
    except Exception:
        return None


def _reason(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_REASON_CHARS]


def _refuse(name: str) -> t.NoReturn:
    raise UnreadableInputError(f"{name} is not a number of JSON")


_JSON = json.JSONDecoder(parse_constant=_refuse)


def read_json(data: bytes | str) -> t.Any:
    """Return the value in a JSON text, whose errors are of any type."""
    text = data if isinstance(data, str) else data.decode()
    return _JSON.decode(text)


def read_number(value: t.Any, low: float = 0.0, high: float = MAX_NUMBER) -> float:
    """Return a finite number from ``low`` to ``high``.

    :raises UnreadableInputError: it is anything else.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # A NaN compares false, and an integer too large for a float compares exactly.
    if not is_number or not low <= value <= high:
        raise UnreadableInputError(f"not a number from {low} to {high}")
    return value


def read_finite(value: float) -> float:
    """Return a number of a message.

    :raises UnreadableInputError: it is infinite, or no number.
    """
    if not math.isfinite(value):
        raise UnreadableInputError("not a finite number")
    return value


def read_int(value: t.Any, low: int = 0, high: int = MAX_NUMBER) -> int:
    """Return an integer from ``low`` to ``high``.

    :raises UnreadableInputError: it is anything else.
    """
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not low <= value <= high:
        raise UnreadableInputError(f"not an integer from {low} to {high}")
    return value


def read_count(value: t.Any, low: int = 0, high: int = MAX_NUMBER) -> int:
    """Return a number as an integer; a fraction is cut off.

    :raises UnreadableInputError: it is no number from ``low`` to ``high``.
    """
    return int(read_number(value, low, high))


def read_text(value: t.Any, max_bytes: int = MAX_TEXT_BYTES) -> str:
    """Return a text that is not empty and can be encoded.

    :raises UnreadableInputError: it is anything else.
    """
    try:
        is_text = isinstance(value, str) and 0 < len(value.encode()) <= max_bytes
    except UnicodeEncodeError:
        is_text = False
    if not is_text:
        raise UnreadableInputError(f"not a text of 1 to {max_bytes} bytes")
    return value


def read_header_token(value: t.Any) -> str:
    """Return a text that can be the whole value of an HTTP header.

    :raises UnreadableInputError: it is anything else.
    """
    if not HEADER_TOKEN.fullmatch(read_text(value)):
        raise UnreadableInputError("not a text of visible ASCII characters")
    return value


def read_printable_text(value: t.Any) -> str:
    """Return a text of a configuration without control characters.

    :raises UnreadableInputError: it is anything else.
    """
    if not read_text(value, MAX_CONFIGURED_TEXT_BYTES).isprintable():
        raise UnreadableInputError("not a text without control characters")
    return value


def read_digits(value: bytes, high: int = MAX_NUMBER) -> int:
    """Return the integer in the decimal digits of a header.

    :raises UnreadableInputError: it is anything else.
    """
    if not WHOLE_NUMBER.fullmatch(value):
        raise UnreadableInputError("not a whole number")
    return read_int(int(value), 0, high)


def read_decimal(value: bytes) -> float:
    """Return the decimal number in a header; a very long one is infinite.

    :raises UnreadableInputError: it is anything else, or negative.
    """
    if not DECIMAL_NUMBER.fullmatch(value):
        raise UnreadableInputError("not a decimal number")
    return float(value)


def read_signed_number(value: bytes) -> float:
    """Return the finite number in a header, with or without an exponent.

    :raises UnreadableInputError: it is anything else.
    """
    with reading("number"):
        return read_number(float(value), low=-MAX_NUMBER)
