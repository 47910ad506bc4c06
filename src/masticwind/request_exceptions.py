"""Turns the exceptions that end requests into failures.

Expected failures are return values. An exception that reaches the edge of a
server is a bug; it is logged with its traceback, and the caller gets an answer.
"""

from collections.abc import Iterator

from loguru import logger

from masticwind.errors import ErrorKind, Failure


def exception_failure(exc: Exception, request_id: str) -> Failure:
    """Log an exception and return the failure of its request.

    Of a group, each exception is logged with its own traceback, or with that
    of the group if it has none.
    """
    for leaf in _leaves(exc):
        traceback = leaf.__traceback__ or exc.__traceback__
        logger.opt(exception=(type(leaf), leaf, traceback)).bind(
            request_id=request_id
        ).error('request_exception')
    return Failure(kind=ErrorKind.INTERNAL, reason='internal error')


def _leaves(exc: Exception) -> Iterator[Exception]:
    """Return the exceptions of a group and of the groups in it."""
    if not isinstance(exc, ExceptionGroup):
        yield exc
        return
    for member in exc.exceptions:
        yield from _leaves(member)
