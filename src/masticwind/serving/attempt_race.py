"""Decides which of the attempts of one request may write to its caller.

A silent endpoint may only be slow, so its attempt goes on while another one is
tried. The first attempt that has something for the caller ends the others, and
an attempt that goes on ends the search for a successor. This module owns that
decision and needs no event loop, so that it can be tested in all orders.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final


class LineState(enum.Enum):
    """What a line of attempts is doing."""

    PLACING = 'placing'
    RUNNING = 'running'
    SILENT = 'silent'
    ENDED = 'ended'


@dataclass(slots=True, eq=False)
class AttemptLine:
    """Attempts of one request that follow each other.

    `end` is called if another line is preferred; the line is `superseded`.
    """

    end: Callable[[], None]
    state: LineState = LineState.PLACING
    superseded: bool = False


class AttemptRace:
    """The lines of one request, of which at most one is being placed."""

    def __init__(self) -> None:
        self._lines: Final[list[AttemptLine]] = []

    def open_line(self, end: Callable[[], None]) -> AttemptLine:
        """Add a line, whose first attempt is to be placed."""
        line = AttemptLine(end)
        self._lines.append(line)
        return line

    def begin_attempt(self, line: AttemptLine) -> None:
        """Record that the attempt of a line is being sent."""
        line.state = LineState.RUNNING

    def hold_back(self, line: AttemptLine) -> bool:
        """End an attempt that was not sent; tell whether its line is to go on.

        It may have been silent, so that a successor is being placed.
        """
        return self.end_attempt(line)

    def record_silence(self, line: AttemptLine) -> bool:
        """Record that the endpoint of a line is silent.

        Returns whether another line is to be opened for a successor.
        """
        if line.state is not LineState.RUNNING:
            return False
        line.state = LineState.SILENT
        return self._all_silent()

    def end_attempt(self, line: AttemptLine) -> bool:
        """Record a failed attempt; tell whether its line is to go on.

        Another line that is only being placed is ended instead, unless a
        third one waits for it as well.
        """
        line.state = LineState.PLACING
        others = [other for other in self._lines if other is not line]
        placing = [
            other for other in others if other.state is LineState.PLACING
        ]
        if len(placing) < len(others):
            return not placing and all(
                other.state is LineState.SILENT for other in others
            )
        for other in placing:
            self._supersede(other)
        return True

    def claim(self, line: AttemptLine) -> bool:
        """Let a line write to the caller, which ends all other lines.

        False if the line has been ended itself.
        """
        if line not in self._lines:
            return False
        line.state = LineState.RUNNING
        for other in self._lines.copy():
            if other is not line:
                self._supersede(other)
        return True

    def close_line(self, line: AttemptLine) -> None:
        """Remove a line that has ended by itself."""
        line.state = LineState.ENDED
        if line in self._lines:
            self._lines.remove(line)

    def has_running_others(self, line: AttemptLine) -> bool:
        """Tell whether an attempt of another line is running."""
        return any(
            other is not line and other.state is not LineState.PLACING
            for other in self._lines
        )

    def _all_silent(self) -> bool:
        return all(line.state is LineState.SILENT for line in self._lines)

    def _supersede(self, line: AttemptLine) -> None:
        self._lines.remove(line)
        line.state = LineState.ENDED
        line.superseded = True
        line.end()
