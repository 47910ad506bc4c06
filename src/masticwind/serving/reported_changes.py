"""What other entries report of the last change to a copy of the store."""

from typing import Final

from loguru import logger

from masticwind.budget import boot_time
from masticwind.serving.store_eras import NO_ERA, StoreRevision

# Time for the open watch to deliver a change that other entries report.
CHANGE_GRACE_S: Final = 0.2
# Reports of an era that the store did not confirm are ignored for this time, so
# that an entry with a wrong era does not cause many calls.
REFUTED_TTL_S: Final = 2.0
NOTHING_SEEN: Final = StoreRevision(NO_ERA, 0)


class ReportedChanges:
    """The newest reported change, and up to where a copy was verified.

    The methods take the revision of the copy.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix: Final = prefix
        # A reported revision up to which the copy was verified to be complete.
        self._verified = NOTHING_SEEN
        self._reported_at = float('-inf')
        self._refuted_at = float('-inf')
        self.newest = NOTHING_SEEN

    def report(
        self, last_change: StoreRevision, revision: StoreRevision
    ) -> bool:
        """Record a report; tell whether the copy holds its last change.

        A report of an earlier era says nothing, one of a later era that the
        copy lacks a change.
        """
        if last_change.era < revision.era:
            return False
        complete = self._complete(revision)
        if last_change <= complete:
            return True
        now = boot_time()
        refuted = now - self._refuted_at < REFUTED_TTL_S
        if last_change <= self.newest or (
            refuted and last_change.era > revision.era
        ):
            return False
        if self.newest <= complete:
            self._reported_at = now
        self.newest = last_change
        return False

    def is_change_missing(self, revision: StoreRevision) -> bool:
        """Tell whether a change was reported at least `CHANGE_GRACE_S` ago that
        the copy still lacks.
        """
        if self.newest <= self._complete(revision):
            return False
        return boot_time() - self._reported_at >= CHANGE_GRACE_S

    def verify(self, reported: StoreRevision, revision: StoreRevision) -> None:
        """Record an answered call that began after a change was reported.

        The store had this revision when the call began, so the copy has every
        change up to it, even if the answer names only the revision of the last
        change under the prefix. The watch does not resume from a revision that
        other entries reported: a wrong one would hide changes. If the store
        has answered in an earlier era, the report was wrong.
        """
        if reported.era > revision.era:
            self._refute(reported, revision)
        elif reported > self._complete(revision):
            self._verified = reported

    def _refute(self, reported: StoreRevision, revision: StoreRevision) -> None:
        self._refuted_at = boot_time()
        if self.newest == reported:
            self.newest = revision
        logger.bind(
            prefix=self._prefix,
            era=revision.era,
            reported_era=reported.era,
        ).warning('reported_era_refuted')

    def _complete(self, revision: StoreRevision) -> StoreRevision:
        if self._verified.era != revision.era:
            return revision
        return max(revision, self._verified)
