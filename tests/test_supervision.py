"""Unexpected exceptions, which must not stop an entry."""

from collections.abc import Sequence

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.platform.documents import PlatformDecoder
from masticwind.serving.mirror import Mirror, MirrorOptions, Sink
from masticwind.serving.model import Endpoint
from masticwind.serving.store import Item, Listing
from masticwind.serving.store_eras import StoreRevision
from masticwind.serving.supervision import supervise
from tests.entry_harness import answer_completely, running_entry
from tests.test_mirror import UnresponsiveStore

pytestmark = pytest.mark.anyio


async def test_failed_part_is_restarted() -> None:
    """Guards against an unexpected exception that stops the process."""
    runs: list[int] = []

    async def part() -> None:
        runs.append(1)
        await anyio.sleep(0.01)
        if len(runs) < 3:
            raise ZeroDivisionError

    with anyio.fail_after(3):
        await supervise(part)
    assert len(runs) == 3


async def test_cancelled_part_is_not_restarted() -> None:
    """Guards against a process that cannot be stopped."""
    runs: list[int] = []

    async def part() -> None:
        runs.append(1)
        await anyio.sleep_forever()

    with anyio.move_on_after(0.1):
        await supervise(part)
    assert len(runs) == 1


class FailingSink(Sink):
    """Raises an error for one key and records the others."""

    def __init__(self) -> None:
        self.applied: list[str] = []
        self.removed: list[str] = []

    def replace_all(self, items: Sequence[Item]) -> None:
        """Ignore listings."""

    def apply_changes(self, items: Sequence[Item]) -> None:
        """Apply items until one raises an error."""
        for item in items:
            if item.key == 'poison':
                raise TypeError(item.key)
            keys = self.removed if item.value is None else self.applied
            keys.append(item.key)


def test_change_that_fails_hides_no_other() -> None:
    """Guards against one value of the store that raises an error in the sink
    and so prevents all other changes from being applied.
    """
    sink = FailingSink()
    mirror = Mirror(
        UnresponsiveStore(), sink, MirrorOptions(prefix='', wait_s=1)
    )
    mirror._sink.apply_changes(
        tuple(Item(key, b'', 2) for key in ('a', 'poison', 'b')),
    )
    assert sink.applied[-2:] == ['a', 'b']


class ListingSink(FailingSink):
    """Raises an error for one key, also in a listing."""

    def replace_all(self, items: Sequence[Item]) -> None:
        """Apply the items until one raises an error."""
        self.apply_changes(items)


def test_listing_that_fails_hides_no_other_value() -> None:
    """Guards against one value of the store that raises an error in the sink
    and so prevents the whole listing from being applied.
    """
    sink = ListingSink()
    mirror = Mirror(
        UnresponsiveStore(), sink, MirrorOptions(prefix='', wait_s=1)
    )
    items = tuple(Item(key, b'', 2) for key in ('a', 'poison', 'b'))
    mirror._replace(Listing((*items, Item('c', b'', 2)), StoreRevision(1, 2)))
    assert sink.applied[-3:] == ['a', 'b', 'c']
    assert mirror.loaded
    mirror._replace(Listing(items, StoreRevision(1, 3)))
    assert 'c' in sink.removed
    assert mirror.listing() == Listing(items, StoreRevision(1, 3))


async def test_entry_serves_after_an_unexpected_exception(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a registration that stops the process, because its
    decoder raises an unexpected exception.
    """
    decode = PlatformDecoder.decode_endpoint

    def failing(self: PlatformDecoder, item: Item) -> Endpoint | Failure:
        if item.key.endswith('poison'):
            raise RecursionError
        return decode(self, item)

    monkeypatch.setattr(PlatformDecoder, 'decode_endpoint', failing)
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/open/a')
        harness.store.write('servers/poison', b'')
        await harness.start_endpoint('i-2', answer_completely)
        assert (await harness.request('/open/a')).status == 200
        assert harness.entry.endpoint_count == 2
