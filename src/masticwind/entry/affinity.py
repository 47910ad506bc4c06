"""A bounded index from prefix blocks to the endpoints that may hold them.

The index is a hint: a wrong entry costs the time of a prefill and nothing
else. Blocks and holders per block are bounded, and the blocks that were
neither added nor looked up for longest leave first.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

# More holders than this would not improve the choice of an endpoint.
MAX_HOLDERS: Final = 4


# An agent's name, and how often its blocks were forgotten before.
Holder = tuple[str, int]


class AffinityIndex:
    """Owns at most `max_blocks` blocks with `MAX_HOLDERS` names each."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks: Final = max_blocks
        self._holders: Final = OrderedDict[int, tuple[Holder, ...]]()
        self._epochs: Final[dict[str, int]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, node: str, blocks: Iterable[int]) -> None:
        """Note that the agent `node` may hold these blocks."""
        holder = self._holder(node)
        for block in blocks:
            holders = self._holders.get(block, ())
            if holder not in holders:
                self._holders[block] = (*holders, holder)[-MAX_HOLDERS:]
            self._holders.move_to_end(block)
            if len(self._holders) > self._max_blocks:
                self._holders.popitem(last=False)

    def remove(self, node: str, blocks: Iterable[int]) -> None:
        """Note that the agent `node` no longer holds these blocks."""
        holder = self._holder(node)
        for block in blocks:
            holders = self._holders.get(block, ())
            if holder not in holders:
                continue
            left = tuple(one for one in holders if one != holder)
            if left:
                self._holders[block] = left
            else:
                self._holders.pop(block)

    def invalidate_agent(self, node: str) -> None:
        """Drop everything about an agent whose cache is unknown.

        Its blocks stay until they are replaced but no longer count, because
        a walk over the whole index would stall the event loop.
        """
        self._epochs[node] = self._epochs.get(node, 0) + 1

    def leading_block_counts(self, prefix: tuple[int, ...]) -> dict[str, int]:
        """Return how many leading blocks each agent may hold.

        Agents that may hold none are left out.
        """
        counts: dict[Holder, int] = {}
        before: tuple[Holder, ...] = ()
        current: set[Holder] = set()
        for position, block in enumerate(prefix):
            holders = self._holders.get(block, ())
            if holders and holders == before:
                self._holders.move_to_end(block)
                continue
            left = set(holders) & current if position else set(holders)
            counts.update(dict.fromkeys(current - left, position))
            current = left
            before = holders
            if not current:
                break
            self._holders.move_to_end(block)
        counts.update(dict.fromkeys(current, len(prefix)))
        return {
            holder[0]: count
            for holder, count in counts.items()
            if holder == self._holder(holder[0])
        }

    def _holder(self, node: str) -> Holder:
        return node, self._epochs.get(node, 0)
