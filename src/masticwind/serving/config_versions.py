"""Compares the version of the configuration with those of other entries.

A store that was restored from an older copy lists an older configuration until
the operator has written the newer one again. An entry that was running keeps
its version. One that starts meanwhile, or missed the change, would accept API
keys that have been removed, so it asks the others first: at its start, and in
each new era of the store. Until then, and while it lacks a version that another
entry has, its configuration does not count as confirmed.

The entries that a restored store lists are as old as the copy, and the leases
of running entries may have ended in it. So after a restore, neither an empty
list nor the reply of an entry that is still checking itself ends the check of
an entry that has started. Only a reply of an entry whose configuration has been
confirmed does, or the time within which running entries register again. Without
such a reply, the check is repeated when other entries appear.
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
from masticwind.serving.store_eras import FIRST_ERA

# A reply takes a few milliseconds; the others may all be dead.
MAX_CHECK_S: Final = 0.3
# Running entries register again, and are asked, within this time after the
# return of the store.
MAX_UNPROVED_CHECK_S: Final = 3.0
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
        # Whether a check has ended with proof that the version is current.
        self._proved = False
        # The entries that were known when the last check ended.
        self._checked_beside: frozenset[PeerAddress] = frozenset()
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
        if era == self._checked_era and self._is_unproved_beside_others():
            logger.bind(era=era).info('versions_checked_again')
            self._checked_era = None
            self._as_of = float('-inf')
        if era not in {self._checked_era, self._checking_era}:
            self._checking_era = era
            self._check_started_at = now
            self._reply_received = False
        if self.is_checking() and self._is_check_over():
            self._checked_era = era
            self._checking_era = None
            self._checked_beside = frozenset(self._peers.others())
            if self._reply_received or not self._may_be_restored():
                self._proved = True
        if not self.is_checking() and self.lacking_from() is None:
            self._as_of = max(self._as_of, now - self._mirror.age_s())

    def age_s(self) -> float:
        """Return the greatest possible age of the configuration, in seconds."""
        self.update()
        return boot_time() - self._as_of

    def report(
        self,
        version: int,
        sent_ms: int,
        sender: PeerAddress,
        *,
        confirmed: bool = True,
    ) -> None:
        """Record another entry's version, in a reply to a request.

        `sent_ms` is the time of the request. Version 0 is an unknown one. The
        configuration of the other entry has been `confirmed` to it before.
        """
        is_proof = confirmed or not self._may_be_restored()
        if (
            is_proof
            and version
            and sent_ms / MS_PER_S >= self._check_started_at
        ):
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
        if self._reply_received:
            return True
        elapsed_s = now - self._check_started_at
        if self._may_be_restored() and not self._proved:
            return elapsed_s >= MAX_UNPROVED_CHECK_S
        return elapsed_s >= MAX_CHECK_S or (
            self._peers.loaded and not self._peers.others()
        )

    def _may_be_restored(self) -> bool:
        """Tell whether the store may have returned from an older copy."""
        return self._mirror.revision.era > FIRST_ERA

    def _is_unproved_beside_others(self) -> bool:
        """Tell whether entries have appeared after a check without proof."""
        if self._proved:
            return False
        return not self._checked_beside.issuperset(self._peers.others())

    def _ignore_reports(self) -> None:
        logger.bind(
            version=self.version, reported=self._reported_version
        ).warning('reported_version_ignored')
        self._ignored_until = boot_time() + IGNORE_REPORTS_S
        self._reported_version = 0
