"""What a request may ask for when there is no room for all of them."""

from dataclasses import dataclass
from typing import Final

from masticwind.serving.model import LOWEST_PRIORITY


@dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """The standing of a request among those that compete for room.

    A `returning` request was refused before and has come back as its caller
    was told. With `over_share`, its team has more than its share in progress.
    """

    priority: int = LOWEST_PRIORITY
    returning: bool = False
    over_share: bool = False


DEFAULT_STANDING: Final = Standing()
