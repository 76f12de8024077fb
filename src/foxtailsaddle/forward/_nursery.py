"""Errors out of a nursery, without the group around them."""

import contextlib
import typing as t


def only(group: BaseExceptionGroup) -> BaseException:
    """Return the first error of a group."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


@contextlib.contextmanager
def ungrouped() -> t.Iterator[None]:
    """Raise the one error of a group of errors by itself."""
    try:
        yield
    except ExceptionGroup as group:
        raise only(group) from group
