"""The exit codes of `masticwind-ctl`."""

from typing import Final

from masticwind.errors import ErrorKind, Failure

EXIT_DONE: Final = 0
EXIT_DIFFERENT: Final = 1
EXIT_INVALID: Final = 2
EXIT_REFUSED: Final = 3
EXIT_UNKNOWN: Final = 4
_INVALID_KINDS: Final = frozenset(
    (ErrorKind.BAD_REQUEST, ErrorKind.INVALID_CONFIG, ErrorKind.TOO_LARGE),
)


def exit_code(failure: Failure) -> int:
    """Return the exit code that tells scripts of a failure."""
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return EXIT_UNKNOWN
    return EXIT_INVALID if failure.kind in _INVALID_KINDS else EXIT_REFUSED
