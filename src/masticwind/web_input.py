"""Bytes of a caller that have arrived and are not parsed yet.

The parser is fed in slices that end where a request may end, so that nothing
behind the request in progress is parsed: a parsed request takes about a
hundred times the memory of its bytes.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from uvicorn.protocols.http.flow_control import FlowControl

from masticwind.web_chunks import ChunkSlices

# Reading pauses while more than this is not parsed. One read adds what the
# kernel has kept.
MAX_UNPARSED_BYTES: Final = 65_536
# Heads end with this, and the parser accepts no other line ends.
TERMINATOR: Final = b'\r\n\r\n'
# Slices and chunks that one connection may parse before others get a turn.
MAX_PIECES_PER_TURN: Final = 512


class InputBuffer:
    """Bytes that are kept in the order of their arrival."""

    def __init__(self) -> None:
        self._content = b''
        self._offset = 0
        # The last bytes that were taken, as a terminator may span two slices.
        self._tail = b''

    def __len__(self) -> int:
        """Return the number of bytes that are not taken."""
        return len(self._content) - self._offset

    @property
    def kept_bytes(self) -> int:
        """The memory of the bytes, of which some may be taken already."""
        return len(self._content)

    def append(self, content: bytes) -> None:
        """Keep more bytes."""
        if self:
            content = self._content[self._offset :] + content
        self._content = content
        self._offset = 0

    def clear(self) -> None:
        """Discard all bytes."""
        self._content = b''
        self._offset = 0

    def take(self, max_bytes: int) -> bytes:
        """Take up to `max_bytes`, which are not searched for a terminator."""
        return self._take(self._offset + max_bytes)

    def take_chunks(self, slices: ChunkSlices) -> tuple[bytes, int]:
        """Take the next slice of a chunked body, and count its chunks."""
        end, count = slices.find_end(self._content, self._offset)
        return self._take(end), count

    def take_to_terminator(self) -> bytes:
        """Take everything, but nothing behind the first terminator."""
        begin = self._content[self._offset : self._offset + len(TERMINATOR) - 1]
        spanning = (self._tail + begin).find(TERMINATOR)
        if spanning >= 0:
            length = spanning + len(TERMINATOR) - len(self._tail)
            return self._take(self._offset + length)
        found = self._content.find(TERMINATOR, self._offset)
        end = found + len(TERMINATOR) if found >= 0 else len(self._content)
        return self._take(end)

    def _take(self, end: int) -> bytes:
        if not self._offset and end >= len(self._content):
            piece = self._content
        else:
            piece = self._content[self._offset : end]
        self._offset = min(end, len(self._content))
        if not self:
            self.clear()
        self._tail = (self._tail + piece[1 - len(TERMINATOR) :])[
            1 - len(TERMINATOR) :
        ]
        return piece


class InputFlow(FlowControl):
    """Flow control that also pauses reading while enough is not parsed.

    uvicorn resumes reading whenever an application waits for its caller. What
    is held here stays paused then.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    @property
    def is_held(self) -> bool:
        """Whether reading is paused since enough is not parsed."""
        return self._is_held

    def hold_reading(self) -> None:
        """Pause reading until `release_reading`."""
        if not self._is_held:
            self._is_held = True
            self._transport.pause_reading()

    def release_reading(self) -> None:
        """Read again, unless uvicorn has paused reading."""
        if self._is_held:
            self._is_held = False
            if not self.read_paused:
                self._transport.resume_reading()

    def resume_reading(self) -> None:
        """Resume what uvicorn has paused, unless reading is held."""
        if self._is_held:
            self.read_paused = False
        else:
            super().resume_reading()


class InputOwner(Protocol):
    """The connection whose input is parsed."""

    @property
    def may_parse(self) -> bool:
        """Whether the next bytes belong to the current request, or begin one
        while none is in progress.
        """

    @property
    def missing_body_bytes(self) -> int | None:
        """What is missing of the body; None if it is sent in chunks.

        It is zero while no body is being read.
        """

    def parse_slice(self, content: bytes) -> None:
        """Parse bytes, with which a request may end, but not before."""

    def end_parsing(self) -> None:
        """Note that what remains of the input is kept."""


class TurnQueue:
    """Connections that have more to parse than one turn allows.

    One of them gets a turn in each iteration of the event loop, so that a body
    of tiny chunks does not delay other callers.
    """

    def __init__(self) -> None:
        self._waiting: Final = deque[Callable[[], None]]()

    def add(
        self, loop: asyncio.AbstractEventLoop, parse: Callable[[], None]
    ) -> None:
        """Call `parse` in a later iteration."""
        self._waiting.append(parse)
        if len(self._waiting) == 1:
            loop.call_soon(self._run_next, loop)

    def _run_next(self, loop: asyncio.AbstractEventLoop) -> None:
        parse = self._waiting[0]
        try:
            parse()
        finally:
            self._waiting.popleft()
            if self._waiting:
                loop.call_soon(self._run_next, loop)


class RequestInput:
    """Parses what arrives on one connection, one request at a time."""

    def __init__(
        self,
        owner: InputOwner,
        flow: InputFlow,
        turns: TurnQueue,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._owner: Final = owner
        self._flow: Final = flow
        self._turns: Final = turns
        self._loop: Final = loop
        self._buffer: Final = InputBuffer()
        # Whether the rest waits for a turn, and what was parsed in this one.
        self._awaits_turn = False
        self._pieces = 0
        # Of the chunked body that is being read.
        self._chunk_slices: ChunkSlices | None = None

    def __bool__(self) -> bool:
        """Return whether bytes are not parsed."""
        return bool(self._buffer)

    @property
    def kept_bytes(self) -> int:
        """The memory of what is not parsed."""
        return self._buffer.kept_bytes

    @property
    def is_held(self) -> bool:
        """Whether reading is paused since enough is not parsed."""
        return self._flow.is_held

    def add(self, content: bytes) -> None:
        """Parse bytes, or keep them until the request in progress has ended."""
        self._buffer.append(content)
        if not self._awaits_turn:
            self._parse()
        self._limit_reading()

    def await_turn(self) -> None:
        """Parse what is kept in a later iteration of the event loop."""
        if self._buffer and not self._awaits_turn:
            self._awaits_turn = True
            self._turns.add(self._loop, self._take_turn)

    def clear(self) -> None:
        """Discard what is not parsed."""
        self._buffer.clear()

    def _take_turn(self) -> None:
        self._awaits_turn = False
        self._parse()
        self._limit_reading()

    def _parse(self) -> None:
        self._pieces = 0
        while self._buffer and self._owner.may_parse:
            if self._pieces >= MAX_PIECES_PER_TURN:
                self.await_turn()
                break
            self._pieces += 1
            self._owner.parse_slice(self._take_slice())

    def _limit_reading(self) -> None:
        if len(self._buffer) > MAX_UNPARSED_BYTES:
            self._flow.hold_reading()
        else:
            self._flow.release_reading()
        self._owner.end_parsing()

    def _take_slice(self) -> bytes:
        missing_bytes = self._owner.missing_body_bytes
        if missing_bytes is None:
            self._chunk_slices = self._chunk_slices or ChunkSlices()
            content, chunks = self._buffer.take_chunks(self._chunk_slices)
            self._pieces += chunks
            return content
        self._chunk_slices = None
        if missing_bytes:
            return self._buffer.take(missing_bytes)
        return self._buffer.take_to_terminator()
