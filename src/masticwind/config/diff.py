"""The differences between two configurations, item by item."""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, fields
from typing import Any, Final, Literal, cast

import msgspec

from masticwind.config.model import Configuration, inspect_fields

# 'sha256:' and the first 8 hex digits, enough to tell digests apart.
SHOWN_DIGEST_CHARS: Final = 15


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One item that differs; `details` lists its changed fields."""

    action: Literal['added', 'removed', 'changed']
    section: str
    name: str
    details: tuple[str, ...] = ()

    @property
    def line(self) -> str:
        """The change as one line of text."""
        text = f'{self.action} {self.section}.{self.name}'
        return f'{text}: {"; ".join(self.details)}' if self.details else text


def diff(before: Configuration, after: Configuration) -> tuple[Change, ...]:
    """Return the changes that lead from `before` to `after`."""
    changes: list[Change] = []
    for section in fields(Configuration):
        old: dict[str, Any] = getattr(before, section.name)
        new: dict[str, Any] = getattr(after, section.name)
        for name in sorted(old.keys() | new.keys()):
            change = _compare_items(
                section.name, name, old.get(name), new.get(name)
            )
            if change is not None:
                changes.append(change)
    return tuple(changes)


def _compare_items(
    section: str, name: str, old: Any, new: Any
) -> Change | None:
    if old == new:
        return None
    if old is None:
        return Change(action='added', section=section, name=name)
    if new is None:
        return Change(action='removed', section=section, name=name)
    return Change(
        action='changed',
        section=section,
        name=name,
        details=tuple(_describe_field_changes(old, new)),
    )


def _describe_field_changes(old: object, new: object) -> Iterator[str]:
    for field in inspect_fields(cast(Hashable, type(old))):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            yield f'{field.name} {_format(before)} -> {_format(after)}'


def _format(value: object) -> str:
    if isinstance(value, tuple):
        return f'[{", ".join(_format(item) for item in value)}]'
    if isinstance(value, str) and value.startswith('sha256:'):
        return f'{value[:SHOWN_DIGEST_CHARS]}...'
    return msgspec.json.encode(value).decode()
