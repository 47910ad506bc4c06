"""Maps hashes of prefix blocks to the agents that may have them cached.

The index is only a hint: a wrong entry costs the time of a prefill. Both the
blocks and the holders per block are bounded; the least recently used block is
evicted first.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

# The choice of an endpoint does not improve with more holders per block.
MAX_HOLDERS: Final = 4


# An agent's name and its epoch, the number of earlier invalidations.
Holder = tuple[str, int]


class AffinityIndex:
    """An LRU index of `max_blocks` blocks with `MAX_HOLDERS` agents each."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks: Final = max_blocks
        self._holders: Final = OrderedDict[int, tuple[Holder, ...]]()
        self._epochs: Final[dict[str, int]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, node: str, blocks: Iterable[int]) -> None:
        """Record that the agent `node` may have these blocks cached."""
        holder = self._holder(node)
        for block in blocks:
            holders = self._holders.get(block, ())
            if holder not in holders:
                self._holders[block] = (*holders, holder)[-MAX_HOLDERS:]
            self._holders.move_to_end(block)
            if len(self._holders) > self._max_blocks:
                self._holders.popitem(last=False)

    def remove(self, node: str, blocks: Iterable[int]) -> None:
        """Record that the agent `node` no longer has these blocks cached."""
        holder = self._holder(node)
        for block in blocks:
            holders = self._holders.get(block, ())
            if holder not in holders:
                continue
            remaining = tuple(other for other in holders if other != holder)
            if remaining:
                self._holders[block] = remaining
            else:
                self._holders.pop(block)

    def invalidate_agent(self, node: str) -> None:
        """Invalidate all blocks of an agent whose cache is unknown.

        This starts a new epoch. Entries of older epochs no longer count and
        are left to eviction: iterating over the whole index would block the
        event loop.
        """
        self._epochs[node] = self._epochs.get(node, 0) + 1

    def leading_block_counts(
        self, prefix_hashes: tuple[int, ...]
    ) -> dict[str, int]:
        """Return how many leading blocks of a prompt each agent may hold.

        Agents without the first block are omitted.
        """
        counts: dict[Holder, int] = {}
        previous: tuple[Holder, ...] = ()
        current: set[Holder] = set()
        for position, block in enumerate(prefix_hashes):
            holders = self._holders.get(block, ())
            if holders and holders == previous:
                self._holders.move_to_end(block)
                continue
            remaining = set(holders) & current if position else set(holders)
            counts.update(dict.fromkeys(current - remaining, position))
            current = remaining
            previous = holders
            if not current:
                break
            self._holders.move_to_end(block)
        counts.update(dict.fromkeys(current, len(prefix_hashes)))
        return {
            holder[0]: count
            for holder, count in counts.items()
            if holder == self._holder(holder[0])
        }

    def _holder(self, node: str) -> Holder:
        return node, self._epochs.get(node, 0)
