"""Splits a server-sent event stream into whole events.

Only whole events are passed on, so that a stream that breaks off can be
resumed after the last one.
"""

from dataclasses import dataclass
from typing import Final

ID_FIELD: Final = b'id:'


@dataclass(frozen=True, slots=True)
class Event:
    """One event with its separator; the id is None where it has none."""

    event_id: int | None
    content: bytes


class EventSplitter:
    """Collects bytes until they make whole events."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not whole yet."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that are whole with this chunk."""
        parts = (self._rest + chunk).split(b'\n\n')
        self._rest = parts.pop()
        return [Event(_number(text), b'%b\n\n' % text) for text in parts]


def _number(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if not line.startswith(ID_FIELD):
            continue
        number = line[len(ID_FIELD) :].strip()
        return int(number) if number.isdigit() else None
    return None
