"""Parser of callers' requests."""

from typing import Any, Final

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


class RequestParser:
    """Parses requests with httptools, and ignores offers of other protocols.

    httptools takes a request that offers another protocol to end after its
    head, and its body to be in that protocol. No other protocol is served, so
    the head is parsed a second time without its `upgrade` headers, and what
    follows is read as in any other request. The protocol gets each callback
    once. CONNECT is refused, as all that follows it is meant for a tunnel.
    """

    def __init__(self, protocol: HttpToolsProtocol) -> None:
        self._protocol: Final = protocol
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._has_offer = False
        # Whether the head that is parsed has been reported already.
        self._is_repeated = False
        self._parser = self._new_parser()

    def feed_data(self, data: bytes) -> None:
        """Parse data; raise `HttpParserError` if it is invalid."""
        unread = memoryview(data)
        while unread:
            try:
                self._parser.feed_data(unread)
            except httptools.HttpParserUpgrade as exc:
                unread = unread[exc.args[0] :]
                self._parse_without_offer()
                continue
            return

    def get_method(self) -> bytes:
        """Return the method of the current request."""
        return bytes(self._parser.get_method())

    def get_http_version(self) -> str:
        """Return the version of the current request, such as `1.1`."""
        return str(self._parser.get_http_version())

    def should_keep_alive(self) -> bool:
        """Whether the connection can be used after the current request."""
        return bool(self._parser.should_keep_alive())

    def should_upgrade(self) -> bool:
        """Whether another protocol follows, which is never the case."""
        return False

    def on_message_begin(self) -> None:
        """Note the begin of a request."""
        self._url = b''
        self._headers = []
        self._has_offer = False
        if not self._is_repeated:
            self._protocol.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Note a part of the request target."""
        self._url += url
        if not self._is_repeated:
            self._protocol.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note a header."""
        if self._is_repeated:
            return
        self._headers.append((name, value))
        self._protocol.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Report the end of a head, unless it will be parsed again."""
        self._is_repeated = False
        self._has_offer = bool(self._parser.should_upgrade())
        if not self._has_offer:
            self._protocol.on_headers_complete()
        elif self.get_method() == b'CONNECT':
            # The parser turns this into a response with status 400.
            raise ValueError('CONNECT is not served')

    def on_body(self, body: bytes) -> None:
        """Report a part of the body."""
        self._protocol.on_body(body)

    def on_message_complete(self) -> None:
        """Report the end of a request."""
        if not self._has_offer:
            self._protocol.on_message_complete()

    def _new_parser(self) -> Any:
        parser = httptools.HttpRequestParser(self)
        # As uvicorn does, which ignores what follows the last request.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def _parse_without_offer(self) -> None:
        lines = [
            b'%b %b HTTP/%b\r\n'
            % (
                self.get_method(),
                self._url,
                self.get_http_version().encode(),
            )
        ]
        for name, value in self._headers:
            if name.lower() != b'upgrade':
                lines.append(b'%b: %b\r\n' % (name, value))
        self._is_repeated = True
        self._parser = self._new_parser()
        self._parser.feed_data(b'%b\r\n' % b''.join(lines))
