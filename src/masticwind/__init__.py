"""Serving layer between callers and language model engines."""

from typing import Final

__version__: Final = '0.1.0'
