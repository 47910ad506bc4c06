"""Finds the rule of a plain service that applies to a call."""

from typing import Final
from urllib.parse import unquote

from masticwind.config.model import CallRule, PlainService

WILDCARD: Final = '*'
_AMBIGUOUS_SEQUENCES: Final = ('\\', '%2f', '%5c', '%00', '//')


def find_rule(
    service: PlainService,
    method: str,
    target: str,
) -> CallRule | None:
    """Return the most specific rule for a method and a request target.

    An exact path takes precedence over a prefix, and a longer prefix over a
    shorter one. Of two rules with the same path, the non-repeatable one
    applies.
    """
    path = unquote(target.partition('?')[0])
    best: CallRule | None = None
    for rule in service.calls:
        if rule.method != method or not _matches(rule.path, path):
            continue
        if best is None or _specificity(rule) > _specificity(best):
            best = rule
    return best


def is_unambiguous_path(target: str) -> bool:
    """Tell whether every HTTP server reads the same path from a target.

    A path with dot segments or encoded separators could match the rule of a
    repeatable call here, while the service runs a non-repeatable one.
    """
    path = target.partition('?')[0].lower()
    if any(sequence in path for sequence in _AMBIGUOUS_SEQUENCES):
        return False
    if any(segment in {'.', '..'} for segment in unquote(path).split('/')):
        return False
    return path.isascii() and path.isprintable() and '%25' not in path


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith(WILDCARD):
        return path.startswith(pattern[:-1])
    return path == pattern


def _specificity(rule: CallRule) -> tuple[bool, int, bool]:
    exact = not rule.path.endswith(WILDCARD)
    return exact, len(rule.path), not rule.repeatable
