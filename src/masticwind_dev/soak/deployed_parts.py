"""The settings that switch on the parts which a deployment uses.

The soaks run them, so that their promises hold with the parts as deployed.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

DEPLOYED_PARTS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'endpoint_news': True,
        'overload': 'fair',
        'learned_costs': True,
    }
)
