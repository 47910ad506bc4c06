"""Content-addressed parts of a configuration.

A configuration is stored as parts that are named by the SHA-256 digest of
their content, and a head that names the part of each section. Teams are the
only section that grows with the number of customers. They are hashed into
buckets under a tree of two levels, so that a change of one team replaces one
bucket, one node and the root, and nothing else is written or transferred.
"""

import base64
import hashlib
import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, fields
from typing import Final

import msgspec
import xxhash

from masticwind.config.model import Configuration, Team
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import MAX_VALUE_BYTES

TREE_SECTION: Final = 'teams'
# With 47,000 teams of about 200 bytes, 64 * 64 buckets hold 11 teams each.
# Parts are compressed, because a change of one team took up to 24 KB in all
# without, above the target of 16 KB.
FAN_OUT: Final = 64
# Bounds what a damaged part can make a process allocate.
MAX_UNPACKED_BYTES: Final = 16_000_000

Teams = dict[str, Team]


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The head of the configuration: its generation and its parts.

    `writer` is a unique token of the write that made this generation, by
    which a writer recognises its own write after a lost response. `garbage`
    names the part that lists the parts which may be deleted.
    """

    number: int
    writer: str
    operator: str
    applied_at: str
    parts: dict[str, str]
    garbage: str = ''


@dataclass(frozen=True, slots=True)
class SplitConfiguration:
    """A configuration in its stored form.

    `nodes` gives the digest of each node of the team tree by its position
    and `buckets` the digests of the buckets under each node.
    """

    section_digests: dict[str, str] = field(default_factory=dict)
    contents: dict[str, bytes] = field(default_factory=dict)
    nodes: dict[str, str] = field(default_factory=dict)
    buckets: dict[str, dict[str, str]] = field(default_factory=dict)

    def add(self, content: object) -> str:
        """Encode a part and return its digest."""
        packed = zlib.compress(msgspec.json.encode(content, order='sorted'))
        digest = part_digest(packed)
        self.contents[digest] = packed
        return digest


def unpack(content: bytes) -> bytes:
    """Return the JSON of a part; nothing if it is damaged or too large."""
    reader = zlib.decompressobj()
    try:
        unpacked = reader.decompress(content, MAX_UNPACKED_BYTES)
    except zlib.error:
        return b''
    return unpacked if reader.eof else b''


def part_digest(content: bytes) -> str:
    """Return the name of a part: its SHA-256 digest in URL-safe base 64."""
    digest = hashlib.sha256(content).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b'=').decode()


def split_configuration(config: Configuration) -> SplitConfiguration | Failure:
    """Return the stored form of `config`.

    Returns a `Failure` of kind `too_large` if a part exceeds the largest
    value that the key-value service takes.
    """
    parts = SplitConfiguration()
    for one in fields(config):
        if one.name != TREE_SECTION:
            parts.section_digests[one.name] = parts.add(
                getattr(config, one.name)
            )
    for node, buckets in _grouped(config.teams).items():
        digests = {key: parts.add(teams) for key, teams in buckets.items()}
        parts.buckets[node] = digests
        parts.nodes[node] = parts.add(digests)
    parts.section_digests[TREE_SECTION] = parts.add(parts.nodes)
    for name, digest in parts.section_digests.items():
        if len(parts.contents[digest]) > MAX_VALUE_BYTES:
            return Failure(
                kind=ErrorKind.TOO_LARGE,
                reason=f'section {name} is over {MAX_VALUE_BYTES} bytes',
            )
    return parts


def decode_index(content: bytes) -> dict[str, str]:
    """Return the digests that a root or node lists; none if it is not one."""
    try:
        return msgspec.json.decode(unpack(content), type=dict[str, str])
    except msgspec.DecodeError:
        return {}


class PartCache:
    """Parts that this process has, and what they decode to.

    Buckets are decoded once, so that a new generation costs the decoding of
    its changed parts only. A cache without teams leaves that section out.
    """

    def __init__(self, *, with_teams: bool = True) -> None:
        self._with_teams: Final = with_teams
        self._contents: Final[dict[str, bytes]] = {}
        self._indexes: Final[dict[str, dict[str, str]]] = {}
        self._buckets: Final[dict[str, Teams]] = {}

    def get(self, digest: str) -> bytes | None:
        """Return the content of a part, if it is here."""
        return self._contents.get(digest)

    def add(self, digest: str, content: bytes) -> bool:
        """Take a part; false if its content does not match its digest."""
        if part_digest(content) != digest:
            return False
        self._contents[digest] = content
        return True

    def add_trusted(self, contents: Mapping[str, bytes]) -> None:
        """Take parts that this process has made itself."""
        self._contents.update(contents)

    def merge(self, other: 'PartCache') -> None:
        """Take all that another cache has, decoded parts included."""
        self._contents.update(other._contents)
        self._indexes.update(other._indexes)
        self._buckets.update(other._buckets)

    def missing_digests(self, head: Head) -> list[str]:
        """Return the digests that `head` needs and that are not here.

        The parts below a missing part become known only with it, so this is
        asked again until it returns nothing.
        """
        return [
            digest
            for digest in self._needed(head)
            if digest not in self._contents
        ]

    def build_configuration(self, head: Head) -> Configuration | Failure:
        """Return the configuration that `head` names.

        Returns a `Failure` of kind `not_found` if a part is missing and of
        kind `invalid_config` if one does not decode.
        """
        if self.missing_digests(head):
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'parts of generation {head.number} are missing',
            )
        sections = {
            name: msgspec.Raw(unpack(self._contents[digest]))
            for name, digest in head.parts.items()
            if name != TREE_SECTION
        }
        try:
            config = msgspec.json.decode(
                msgspec.json.encode(sections),
                type=Configuration,
            )
            config.teams.update(self._teams(head))
        except msgspec.DecodeError as exc:
            return Failure(kind=ErrorKind.INVALID_CONFIG, reason=str(exc))
        return config

    def keep_only(self, heads: Iterable[Head]) -> None:
        """Drop everything that none of `heads` needs."""
        needed = {digest for head in heads for digest in self._needed(head)}
        for kept in (self._contents, self._indexes, self._buckets):
            for digest in set(kept) - needed:
                kept.pop(digest)

    def _needed(self, head: Head) -> Iterator[str]:
        for name, digest in head.parts.items():
            if name != TREE_SECTION:
                yield digest
        root = head.parts.get(TREE_SECTION)
        if root is None or not self._with_teams:
            return
        yield root
        for node in self._index(root).values():
            yield node
            yield from self._index(node).values()

    def _index(self, digest: str) -> dict[str, str]:
        found = self._indexes.get(digest)
        if found is not None:
            return found
        content = self._contents.get(digest)
        if content is None:
            return {}
        index = decode_index(content)
        self._indexes[digest] = index
        return index

    def _teams(self, head: Head) -> Teams:
        teams: Teams = {}
        root = head.parts.get(TREE_SECTION)
        if root is None or not self._with_teams:
            return teams
        for node in self._index(root).values():
            for bucket in self._index(node).values():
                teams.update(self._bucket(bucket))
        return teams

    def _bucket(self, digest: str) -> Teams:
        found = self._buckets.get(digest)
        if found is None:
            content = unpack(self._contents[digest])
            found = msgspec.json.decode(content, type=Teams)
            self._buckets[digest] = found
        return found


def _grouped(teams: Mapping[str, Team]) -> dict[str, dict[str, Teams]]:
    grouped: dict[str, dict[str, Teams]] = {}
    for name, team in teams.items():
        hashed = xxhash.xxh3_64_intdigest(name.encode())
        node = str(hashed % FAN_OUT)
        bucket = str(hashed // FAN_OUT % FAN_OUT)
        grouped.setdefault(node, {}).setdefault(bucket, {})[name] = team
    return grouped
