"""Spans of time in which something was so, as a soak records them."""

import math
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True)
class Span:
    """A span of the monotonic clock; it lasts if `ended_at` is infinite."""

    subject: str
    begun_at: float
    ended_at: float = math.inf


@dataclass(slots=True)
class SpanLog:
    """Spans of one kind, in the order of their start."""

    spans: list[Span] = field(default_factory=list)

    def add(self, subject: str, begun_at: float, ended_at: float) -> None:
        """Record a span."""
        self.spans.append(Span(subject, begun_at, ended_at))

    @contextmanager
    def during(self, subject: str, after_s: float = 0) -> Iterator[None]:
        """Record the time of the block, and `after_s` from its end."""
        span = Span(subject, time.monotonic())
        self.spans.append(span)
        try:
            yield
        finally:
            span.ended_at = time.monotonic() + after_s

    def of(self, subject: str) -> list[Span]:
        """Return the spans of a subject."""
        return [span for span in self.spans if span.subject == subject]

    def overlaps(
        self, subjects: Iterable[str], begun_at: float, ended_at: float
    ) -> bool:
        """Tell whether a span of a subject has a part of this time."""
        names = frozenset(subjects)
        return any(
            span.subject in names
            and span.begun_at <= ended_at
            and span.ended_at >= begun_at
            for span in self.spans
        )

    def total_s(self, subject: str, begun_at: float, ended_at: float) -> float:
        """Return how much of this time the spans of a subject have."""
        return sum(
            max(
                0.0,
                min(span.ended_at, ended_at) - max(span.begun_at, begun_at),
            )
            for span in self.of(subject)
        )
