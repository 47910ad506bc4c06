"""The budget of buffered bytes in all orders of its use."""

from contextlib import ExitStack

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from masticwind.byte_budget import Buffer, ByteBudget


def _has_buffers(machine: 'ByteBudgetMachine') -> bool:
    return bool(machine.buffers)


class ByteBudgetMachine(RuleBasedStateMachine):
    """Buffers that open, grow, are released and close in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = ByteBudget(memory_mb=1)
        self.stacks: list[ExitStack] = []
        self.buffers: list[Buffer] = []
        self.sizes: list[int] = []

    @rule()
    def open(self) -> None:
        """Open a buffer."""
        stack = ExitStack()
        self.buffers.append(stack.enter_context(self.budget.open_buffer()))
        self.stacks.append(stack)
        self.sizes.append(0)

    @precondition(_has_buffers)
    @rule(data=st.data(), size_bytes=st.integers(0, 100_000))
    def grow(self, data: st.DataObject, size_bytes: int) -> None:
        """Grow a buffer, exactly if the budget has the bytes."""
        index = data.draw(st.integers(0, len(self.buffers) - 1))
        fits = sum(self.sizes) + size_bytes <= self.budget.total_bytes
        assert self.buffers[index].try_grow(size_bytes) == fits
        if fits:
            self.sizes[index] += size_bytes

    @precondition(_has_buffers)
    @rule(data=st.data(), size_bytes=st.integers(0, 200_000))
    def hold(self, data: st.DataObject, size_bytes: int) -> None:
        """Hold exactly so many bytes, if the budget has them."""
        index = data.draw(st.integers(0, len(self.buffers) - 1))
        others = sum(self.sizes) - self.sizes[index]
        fits = others + size_bytes <= self.budget.total_bytes
        assert self.buffers[index].try_hold(size_bytes) == fits
        if fits:
            self.sizes[index] = size_bytes

    @precondition(_has_buffers)
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        """Release the bytes of a buffer that stays open."""
        index = data.draw(st.integers(0, len(self.buffers) - 1))
        self.buffers[index].release()
        self.sizes[index] = 0

    @precondition(_has_buffers)
    @rule(data=st.data())
    def close(self, data: st.DataObject) -> None:
        """Close a buffer."""
        index = data.draw(st.integers(0, len(self.buffers) - 1))
        self.buffers.pop(index)
        self.sizes.pop(index)
        self.stacks.pop(index).close()

    @invariant()
    def is_exact(self) -> None:
        """Guards against bytes that are lost, counted twice or over the
        budget.
        """
        assert self.budget.used_bytes == sum(self.sizes)
        assert self.budget.used_bytes <= self.budget.total_bytes

    def teardown(self) -> None:
        """Guards against bytes that are not returned."""
        for stack in self.stacks:
            stack.close()
        assert self.budget.used_bytes == 0


TestByteBudget = ByteBudgetMachine.TestCase


def test_failure_returns_the_bytes() -> None:
    """Guards against a budget that shrinks with each failed request."""
    budget = ByteBudget(memory_mb=1)
    with pytest.raises(KeyError), budget.open_buffer() as buffer:
        assert buffer.try_grow(100)
        raise KeyError
    assert budget.used_bytes == 0
