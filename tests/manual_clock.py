"""A clock that a test advances."""


class ManualClock:
    """Returns a time in seconds that only the test changes."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the present time."""
        return self.now
