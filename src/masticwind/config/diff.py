"""What differs between two configurations, entry by entry."""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, fields
from typing import Any, Final, Literal, cast

import msgspec

from masticwind.config.model import Configuration, inspect_fields

# Enough to tell digests apart by eye.
DIGEST_SHOWN: Final = 15


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One entry that differs; `details` lists what changed in it."""

    action: Literal['added', 'removed', 'changed']
    section: str
    name: str
    details: tuple[str, ...] = ()

    @property
    def line(self) -> str:
        """The change as one line for people."""
        text = f'{self.action} {self.section}.{self.name}'
        return f'{text}: {"; ".join(self.details)}' if self.details else text


def diff(before: Configuration, after: Configuration) -> tuple[Change, ...]:
    """Return the changes that lead from `before` to `after`."""
    changes: list[Change] = []
    for section in fields(Configuration):
        old: dict[str, Any] = getattr(before, section.name)
        new: dict[str, Any] = getattr(after, section.name)
        for name in sorted(old.keys() | new.keys()):
            change = _compare(section.name, name, old.get(name), new.get(name))
            if change is not None:
                changes.append(change)
    return tuple(changes)


def _compare(section: str, name: str, old: Any, new: Any) -> Change | None:
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
        details=tuple(_field_changes(old, new)),
    )


def _field_changes(old: object, new: object) -> Iterator[str]:
    for one in inspect_fields(cast(Hashable, type(old))):
        was, now = getattr(old, one.name), getattr(new, one.name)
        if was != now:
            yield f'{one.name} {_text(was)} -> {_text(now)}'


def _text(content: object) -> str:
    if isinstance(content, tuple):
        return f'[{", ".join(_text(one) for one in content)}]'
    if isinstance(content, str) and content.startswith('sha256:'):
        return f'{content[:DIGEST_SHOWN]}...'
    return msgspec.json.encode(content).decode()
