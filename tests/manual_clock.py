"""A clock that a test moves."""


class ManualClock:
    """Seconds that pass only when a test says so."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now
