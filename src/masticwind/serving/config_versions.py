"""Compares the version of the configuration with those of other entries.

A store that was restored from an older copy lists an older configuration until
the operator has written the newer one again. An entry that was running keeps
its version. One that starts meanwhile, or missed the change, would accept API
keys that have been removed, so it asks the others first: at its start, and in
each new era of the store. Until then, and while it lacks a version that another
entry has, its configuration does not count as confirmed.
"""

from typing import Final

from loguru import logger

from masticwind.budget import MS_PER_S, boot_time
from masticwind.serving.datagrams import PeerAddress
from masticwind.serving.directory import OperatorState
from masticwind.serving.mirror import Mirror
from masticwind.serving.peers import EntryPeers
from masticwind.serving.reported_changes import CHANGE_GRACE_S
from masticwind.serving.store import Item

# A reply takes a few milliseconds; the others may all be dead.
MAX_CHECK_S: Final = 0.3
# A reported version that no entry sends within this time is ignored.
MAX_WAIT_S: Final = 1.0
# Reports are ignored for this time after one that proved wrong.
IGNORE_REPORTS_S: Final = 2.0


class ConfigVersions:
    """The newest version that is known here, and the age of the configuration.

    Until another entry's newer version has arrived, the age counts from before
    the report.
    """

    def __init__(
        self, mirror: Mirror, state: OperatorState, peers: EntryPeers
    ) -> None:
        self._mirror: Final = mirror
        self._state: Final = state
        self._peers: Final = peers
        self._as_of = float('-inf')
        # The eras whose check is over, and whose check goes on.
        self._checked_era: int | None = None
        self._checking_era: int | None = None
        self._check_started_at = float('-inf')
        self._reply_received = False
        self._reported_version = 0
        self._reported_at = float('-inf')
        self._reported_by: PeerAddress | None = None
        self._ignored_until = float('-inf')

    @property
    def version(self) -> int:
        """The version in force."""
        return self._state.version

    def is_checking(self) -> bool:
        """Tell whether other entries are asked before keys are accepted."""
        return (
            self._mirror.loaded
            and self._mirror.revision.era != self._checked_era
        )

    def update(self) -> None:
        """Begin and end checks, and note how recent the configuration is."""
        if not self._mirror.loaded:
            return
        now = boot_time()
        era = self._mirror.revision.era
        if era not in {self._checked_era, self._checking_era}:
            self._checking_era = era
            self._check_started_at = now
            self._reply_received = False
        if self.is_checking() and self._is_check_over():
            self._checked_era = era
        if not self.is_checking() and self.lacking_from() is None:
            self._as_of = max(self._as_of, now - self._mirror.age_s())

    def age_s(self) -> float:
        """Return the greatest possible age of the configuration, in seconds."""
        self.update()
        return boot_time() - self._as_of

    def report(self, version: int, sent_ms: int, sender: PeerAddress) -> None:
        """Record another entry's version, in a reply to a request.

        `sent_ms` is the time of the request. Version 0 is an unknown one.
        """
        if version and sent_ms / MS_PER_S >= self._check_started_at:
            self._reply_received = True
        now = boot_time()
        if version <= max(self.version, self._reported_version):
            return
        if now < self._ignored_until:
            return
        if self._reported_version <= self.version:
            self._reported_at = now
        self._reported_version = version
        self._reported_by = sender

    def lacking_from(self) -> PeerAddress | None:
        """Return an entry that has a version which this one lacks."""
        if self._reported_version <= self.version:
            return None
        waited_s = boot_time() - self._reported_at
        if waited_s > MAX_WAIT_S:
            self._ignore_reports()
            return None
        if waited_s < CHANGE_GRACE_S and not self.is_checking():
            return None
        return self._reported_by

    def items(self) -> tuple[Item, ...]:
        """Return the items of the copy, with the configuration in force."""
        return self._state.with_config_in_force(self._mirror.listing().items)

    def take_newer(self, items: tuple[Item, ...]) -> bool:
        """Adopt the configuration among items if its version is newer."""
        return self._state.take_newer_config(items)

    def _is_check_over(self) -> bool:
        now = boot_time()
        if self._reported_version > self.version and (
            now - self._reported_at <= MAX_WAIT_S
        ):
            return False
        return (
            self._reply_received
            or now - self._check_started_at >= MAX_CHECK_S
            or (self._peers.loaded and not self._peers.others())
        )

    def _ignore_reports(self) -> None:
        logger.bind(
            version=self.version, reported=self._reported_version
        ).warning('reported_version_ignored')
        self._ignored_until = boot_time() + IGNORE_REPORTS_S
        self._reported_version = 0
