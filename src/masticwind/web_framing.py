"""Rules for heads of callers' requests that the HTTP parser does not check."""

from typing import Final

Headers = list[tuple[bytes, bytes]]

VERSION_WITHOUT_CHUNKS: Final = '1.0'
VERSIONS: Final = frozenset((VERSION_WITHOUT_CHUNKS, '1.1'))
CHUNKED: Final = b'chunked'


class BodySize:
    """Counts the content of a body, and what is sent beside it in chunks.

    `declared` is None if the body is sent in chunks. `overhead` counts the
    bytes of the latest reads that had no content. These are parts of a long
    chunk extension, or trailers.
    """

    def __init__(self, declared: int | None) -> None:
        self.overhead = 0
        self._declared: Final = declared
        self._content_bytes = 0
        # The read that has the end of the head is no overhead.
        self._is_read_counted = True

    @property
    def missing_bytes(self) -> int | None:
        """The content that has not arrived; None if it is sent in chunks."""
        if self._declared is None:
            return None
        return self._declared - self._content_bytes

    def add_content(self, size: int) -> None:
        """Count content."""
        self._content_bytes += size
        self._is_read_counted = True

    def end_read(self, size: int) -> None:
        """Count a read of `size` bytes as overhead if it had no content."""
        if self._is_read_counted:
            self.overhead = 0
        else:
            self.overhead += size
        self._is_read_counted = False

    def check_end(self) -> None:
        """Raise `ValueError` if the body has another length than declared."""
        if self._declared not in {None, self._content_bytes}:
            raise ValueError('the body has another length than declared')


def find_declared_length(headers: Headers) -> int | None:
    """Return the declared length of a body; None if it is sent in chunks."""
    length = 0
    for name, text in headers:
        if name == b'transfer-encoding':
            return None
        if name == b'content-length':
            length = int(text)
    return length


def check_head(version: str, target: bytes, headers: Headers) -> None:
    """Raise `ValueError` for a head that is ambiguous or not supported."""
    if version not in VERSIONS:
        raise ValueError('the version is not served')
    _check_transfer_encoding(version, headers)
    _check_hosts(headers)
    _check_target(target, headers)


def _check_transfer_encoding(version: str, headers: Headers) -> None:
    """Refuse transfer codings, which are not removed from the body, and
    chunks in a version that does not have them.
    """
    for name, text in headers:
        if name != b'transfer-encoding':
            continue
        if text.lower() != CHUNKED or version == VERSION_WITHOUT_CHUNKS:
            raise ValueError('the transfer coding is not supported')


def _check_hosts(headers: Headers) -> None:
    """Refuse several hosts, as an engine may choose another one."""
    names = [name for name, _ in headers]
    if names.count(b'host') > 1:
        raise ValueError('more than one host')


def _check_target(target: bytes, headers: Headers) -> None:
    """Refuse a fragment, which is no part of a request target, and an
    absolute target that does not name the host of the headers.
    """
    if b'#' in target:
        raise ValueError('the target has a fragment')
    _, separator, rest = target.partition(b'://')
    if target.startswith(b'/') or not separator:
        return
    host = dict(headers).get(b'host', b'')
    authority = rest.partition(b'?')[0].partition(b'/')[0]
    if _without_port(authority) != _without_port(host):
        raise ValueError('the target and the headers name different hosts')


def _without_port(authority: bytes) -> bytes:
    """Return a host in lower case, without the port if there is one."""
    host, _, port = authority.lower().rpartition(b':')
    return host if port.isdigit() else authority.lower()
