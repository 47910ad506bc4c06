"""One problem in an operators' configuration, formatted as a line."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Where a configuration is wrong and what was expected there.

    The text never contains a configured value that could be a secret.
    """

    file: str
    key: str
    expected: str

    @property
    def line(self) -> str:
        """The problem as one line: file, key and expected value."""
        if not self.key:
            return f'{self.file}: {self.expected}'
        return f'{self.file}: {self.key}: {self.expected}'
