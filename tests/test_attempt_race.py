"""The decision which attempt of a request may write to its caller."""

from collections.abc import Callable
from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from masticwind.serving.attempt_race import (
    AttemptLine,
    AttemptRace,
    LineState,
)

RUNNING: Final = frozenset((LineState.RUNNING, LineState.SILENT))
LIVE: Final = RUNNING | {LineState.PLACING}


def _do_nothing() -> None:
    """End nothing, as no attempt is running."""


def _has(*states: LineState) -> Callable[['RaceMachine'], bool]:
    return lambda machine: bool(machine.live(*states))


def _has_superseded(machine: 'RaceMachine') -> bool:
    return any(line.superseded for line in machine.lines)


class RaceMachine(RuleBasedStateMachine):
    """Drives a race as the run of a request does, in all orders."""

    def __init__(self) -> None:
        super().__init__()
        self.race = AttemptRace()
        self.lines: list[AttemptLine] = [self.race.open_line(_do_nothing)]

    def live(self, *states: LineState) -> list[AttemptLine]:
        """Return the lines in these states, or all that have not ended."""
        chosen = states or LIVE
        return [line for line in self.lines if line.state in chosen]

    def draw(self, data: st.DataObject, *states: LineState) -> AttemptLine:
        """Draw one of the lines in these states."""
        return data.draw(st.sampled_from(self.live(*states)))

    @precondition(_has(LineState.PLACING))
    @rule(data=st.data())
    def begin(self, data: st.DataObject) -> None:
        """Send the attempt of a line."""
        self.race.begin_attempt(self.draw(data, LineState.PLACING))

    @precondition(_has(LineState.RUNNING))
    @rule(data=st.data())
    def fall_silent(self, data: st.DataObject) -> None:
        """Let an endpoint fall silent; open a line if one is needed."""
        line = self.draw(data, LineState.RUNNING)
        if self.race.record_silence(line):
            self.lines.append(self.race.open_line(_do_nothing))
        assert line.state is LineState.SILENT

    @precondition(_has(*RUNNING))
    @rule(data=st.data())
    def hold_back(self, data: st.DataObject) -> None:
        """Place an attempt again that has not been sent.

        It may have waited for a connection for longer than a silence lasts.
        """
        line = self.draw(data, *RUNNING)
        if not self.race.hold_back(line):
            self.race.close_line(line)
            assert self.live(), 'nothing is left for the request'

    @precondition(_has(*RUNNING))
    @rule(data=st.data())
    def fail(self, data: st.DataObject) -> None:
        """Let an attempt fail; its line ends unless it goes on."""
        line = self.draw(data, *RUNNING)
        if not self.race.end_attempt(line):
            self.race.close_line(line)
            assert self.live(), 'nothing is left for the request'

    @precondition(_has(*RUNNING))
    @rule(data=st.data())
    def write(self, data: st.DataObject) -> None:
        """Let an attempt write, which must end all others."""
        line = self.draw(data, *RUNNING)
        assert self.race.claim(line)
        assert self.live() == [line]

    @precondition(_has_superseded)
    @rule(data=st.data())
    def write_too_late(self, data: st.DataObject) -> None:
        """Let an attempt write that has been ended, which is refused."""
        ended = [line for line in self.lines if line.superseded]
        assert not self.race.claim(data.draw(st.sampled_from(ended)))

    @invariant()
    def has_at_most_one_search(self) -> None:
        """Guards against two successors of one silent attempt."""
        assert len(self.live(LineState.PLACING)) <= 1

    @invariant()
    def silence_is_searched_for(self) -> None:
        """Guards against silent attempts for which no successor is sought."""
        live = self.live()
        assert live
        if all(line.state is LineState.SILENT for line in live):
            raise AssertionError('no line looks for a successor')

    @invariant()
    def sees_others(self) -> None:
        """Guards against a line that ends the request beside another one."""
        for line in self.live(LineState.PLACING):
            others = [one for one in self.live(*RUNNING) if one is not line]
            assert self.race.has_running_others(line) == bool(others)


TestRace = RaceMachine.TestCase
TestRace.settings = settings(max_examples=200, stateful_step_count=30)
