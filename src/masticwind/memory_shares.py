"""How the memory of a machine is divided among what callers can make grow.

`docs/LIMITS.md` has the sum.
"""

from typing import Final

BYTES_PER_MB: Final = 1_048_576
# What a process takes without callers, and while it joins a body.
PROCESS_MB: Final = 49
# Shares of the memory: connections and what the kernel receives for them,
# requests in progress, what is kept for callers that send ahead or read
# nothing, bodies that are kept until they are passed on, and what the kernel
# receives for connections with bodies.
CONNECTIONS_SHARE: Final = 0.25
REQUESTS_SHARE: Final = 0.25
KEPT_SHARE: Final = 0.15
BUFFERS_SHARE: Final = 0.1
WIDE_BUFFERS_SHARE: Final = 0.05
# What a connection is reckoned at, and what it takes without a request.
CONNECTION_BYTES: Final = 32_768
IDLE_CONNECTION_BYTES: Final = 24_576
# What a request in progress takes beside its bodies, with its part of the
# connections to endpoints.
REQUEST_BYTES: Final = 65_536
_SHARES: Final = (
    CONNECTIONS_SHARE * IDLE_CONNECTION_BYTES / CONNECTION_BYTES
    + REQUESTS_SHARE
    + KEPT_SHARE
    + BUFFERS_SHARE
    + WIDE_BUFFERS_SHARE
)
MIN_SHARED: Final = 0.25


def shared_memory_mb(memory_mb: float) -> float:
    """Return the memory of which callers get their shares, in MB.

    It is that of the machine, unless the shares leave too little for the
    process itself.
    """
    fitting_mb = (memory_mb - PROCESS_MB) / _SHARES
    return min(memory_mb, max(fitting_mb, memory_mb * MIN_SHARED))
