"""Which rule of a plain service applies to a call."""

from typing import Final
from urllib.parse import unquote

from masticwind.config.model import CallRule, PlainService

WILDCARD: Final = '*'
_UNSAFE: Final = ('\\', '%2f', '%5c', '%00', '//')


def find_rule(
    service: PlainService,
    method: str,
    target: str,
) -> CallRule | None:
    """Return the most specific rule for a method and a request target.

    An exact path comes before a prefix and a longer prefix before a shorter
    one. Of two equal rules the non-repeatable one applies.
    """
    path = unquote(target.partition('?')[0])
    best: CallRule | None = None
    for rule in service.calls:
        if rule.method != method or not _matches(rule.path, path):
            continue
        if best is None or _rank(rule) > _rank(best):
            best = rule
    return best


def is_unambiguous_path(target: str) -> bool:
    """Tell whether a target means the same path to every reader.

    A path with dot segments or encoded separators could match a repeatable
    rule here and name a non-repeatable call at the service.
    """
    path = target.partition('?')[0].lower()
    if any(part in path for part in _UNSAFE):
        return False
    if any(part in {'.', '..'} for part in unquote(path).split('/')):
        return False
    return path.isascii() and path.isprintable() and '%25' not in path


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith(WILDCARD):
        return path.startswith(pattern[:-1])
    return path == pattern


def _rank(rule: CallRule) -> tuple[bool, int, bool]:
    exact = not rule.path.endswith(WILDCARD)
    return exact, len(rule.path), not rule.repeatable
