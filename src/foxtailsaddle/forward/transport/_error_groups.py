"""Unwraps the exception groups that trio's nurseries raise."""

import contextlib
import typing as t


def first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error in a group, which may be nested."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


@contextlib.contextmanager
def unwrap_error_group() -> t.Iterator[None]:
    """Raise the first error of an exception group instead of the group."""
    try:
        yield
    except ExceptionGroup as group:
        raise first_error(group) from group
