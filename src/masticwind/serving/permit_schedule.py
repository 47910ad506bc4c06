"""Spaces the requests to an endpoint that limits their rate."""

from typing import Final

# Permits that can be granted at once after a pause.
BURST_PERMITS: Final = 2
# An endpoint without requests cannot withdraw its limit, so a permit is granted
# after this time however small the limit is.
MAX_INTERVAL_S: Final = 4.0


class PermitSchedule:
    """Grants permits at a rate (generic cell rate algorithm).

    In any `t` seconds, at most `rate * t + BURST_PERMITS` permits fall due, or
    one each `MAX_INTERVAL_S` if that is more. Times are seconds of the
    caller's clock. The first permit is due at `first_at`.
    """

    def __init__(self, rate_per_s: float, first_at: float) -> None:
        self.interval_s: Final = interval_s(rate_per_s)
        # When the burst is used up, the next permit is due one burst before.
        self._full_at = first_at + (BURST_PERMITS - 1) * self.interval_s

    def wait_s(self, now: float) -> float:
        """Return the time until the next permit is due."""
        burst_s = (BURST_PERMITS - 1) * self.interval_s
        return max(0.0, self._full_at - burst_s - now)

    def try_grant(self, now: float, max_wait_s: float) -> float | None:
        """Grant a permit that is due within `max_wait_s`; return its wait."""
        wait_s = self.wait_s(now)
        if wait_s > max_wait_s:
            return None
        self._full_at = max(self._full_at, now + wait_s) + self.interval_s
        return wait_s

    def try_grant_spare(self, now: float) -> float | None:
        """Grant a permit only if another one is due now as well."""
        return None if self._full_at > now else self.try_grant(now, 0)


def interval_s(rate_per_s: float) -> float:
    """Return the time between two permits."""
    if rate_per_s * MAX_INTERVAL_S <= 1:
        return MAX_INTERVAL_S
    return 1 / rate_per_s
