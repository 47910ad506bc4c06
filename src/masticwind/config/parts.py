"""Content-addressed parts of a configuration.

A configuration is stored as parts, whose keys are the SHA-256 digests of
their content, and a head, which holds the digest of each section's part.
Teams are the only section that grows with the number of customers. They are
hashed into buckets below a tree of two levels, so that a change of one team
writes and transfers only one bucket, one node and the root.
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
from masticwind.decoding import parse_json
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import MAX_VALUE_BYTES

TEAMS_SECTION: Final = 'teams'
# With 47,000 teams of about 200 bytes, 64 * 64 buckets hold 11 teams each.
# Parts are compressed: without compression, a change of one team wrote and
# transferred up to 24 KB, above the target of 16 KB.
TREE_FAN_OUT: Final = 64
# Limits the memory that decompressing a malformed part can allocate.
MAX_DECOMPRESSED_BYTES: Final = 16_000_000

TeamsByName = dict[str, Team]


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The root record of one generation, with the digests of its sections.

    `writer` is a unique token of the write that created this generation; a
    writer uses it to recognise its own write after a lost response. `garbage`
    is the digest of the list of parts that may be deleted.
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

    `contents` maps digests to parts. `node_digests` maps positions in the
    team tree to the digests of its nodes, and `bucket_digests` holds the
    digests of the buckets below each node.
    """

    section_digests: dict[str, str] = field(default_factory=dict)
    contents: dict[str, bytes] = field(default_factory=dict)
    node_digests: dict[str, str] = field(default_factory=dict)
    bucket_digests: dict[str, dict[str, str]] = field(default_factory=dict)

    def add_part(self, content: object) -> str:
        """Encode a part and return its digest."""
        compressed = zlib.compress(msgspec.json.encode(content, order='sorted'))
        digest = part_digest(compressed)
        self.contents[digest] = compressed
        return digest


def decompress_part(content: bytes) -> bytes:
    """Return the JSON of a part; empty if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
    except zlib.error:
        return b''
    return decompressed if decompressor.eof else b''


def part_digest(content: bytes) -> str:
    """Return the SHA-256 digest of a part in URL-safe base64."""
    digest = hashlib.sha256(content).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b'=').decode()


def split_configuration(config: Configuration) -> SplitConfiguration | Failure:
    """Return the stored form of `config`.

    Returns a `Failure` of kind `too_large` if a part exceeds the largest
    value that the key-value service accepts.
    """
    parts = SplitConfiguration()
    for section in fields(config):
        if section.name != TEAMS_SECTION:
            parts.section_digests[section.name] = parts.add_part(
                getattr(config, section.name)
            )
    for node, buckets in _group_into_buckets(config.teams).items():
        digests = {key: parts.add_part(teams) for key, teams in buckets.items()}
        parts.bucket_digests[node] = digests
        parts.node_digests[node] = parts.add_part(digests)
    parts.section_digests[TEAMS_SECTION] = parts.add_part(parts.node_digests)
    for name, digest in parts.section_digests.items():
        if len(parts.contents[digest]) > MAX_VALUE_BYTES:
            return Failure(
                kind=ErrorKind.TOO_LARGE,
                reason=f'section {name} is over {MAX_VALUE_BYTES} bytes',
            )
    return parts


def decode_index(content: bytes) -> dict[str, str]:
    """Return the digests in a root or node; none if it is malformed."""
    index = parse_json(
        decompress_part(content), dict[str, str], ErrorKind.INVALID_CONFIG
    )
    return {} if isinstance(index, Failure) else index


class PartCache:
    """The parts that this process holds, with their decoded form.

    Each bucket is decoded only once, so that adopting a new generation
    decodes only the buckets that changed. A cache without teams omits that
    section.
    """

    def __init__(self, *, with_teams: bool = True) -> None:
        self._with_teams: Final = with_teams
        self._contents: Final[dict[str, bytes]] = {}
        self._indexes: Final[dict[str, dict[str, str]]] = {}
        self._buckets: Final[dict[str, TeamsByName]] = {}

    def get(self, digest: str) -> bytes | None:
        """Return the content of a part, or none if it is not cached."""
        return self._contents.get(digest)

    def add(self, digest: str, content: bytes) -> bool:
        """Add a part; return false if content and digest do not match."""
        if part_digest(content) != digest:
            return False
        self._contents[digest] = content
        return True

    def add_trusted(self, contents: Mapping[str, bytes]) -> None:
        """Add parts that this process created, without verification."""
        self._contents.update(contents)

    def merge(self, other: 'PartCache') -> None:
        """Add all parts of another cache, including decoded ones."""
        self._contents.update(other._contents)
        self._indexes.update(other._indexes)
        self._buckets.update(other._buckets)

    def missing_digests(self, head: Head) -> list[str]:
        """Return the digests that `head` needs and that are not cached.

        The digests below a missing root or node are known only once it has
        been added, so callers repeat this until it returns none.
        """
        return [
            digest
            for digest in self._needed_digests(head)
            if digest not in self._contents
        ]

    def build_configuration(self, head: Head) -> Configuration | Failure:
        """Return the configuration of `head`, built from its parts.

        Returns a `Failure` of kind `not_found` if a part is missing and of
        kind `invalid_config` if one cannot be decoded.
        """
        if self.missing_digests(head):
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'parts of generation {head.number} are missing',
            )
        sections = {
            name: msgspec.Raw(decompress_part(self._contents[digest]))
            for name, digest in head.parts.items()
            if name != TEAMS_SECTION
        }
        config = parse_json(
            msgspec.json.encode(sections),
            Configuration,
            ErrorKind.INVALID_CONFIG,
        )
        if isinstance(config, Failure):
            return config
        teams = self._decode_teams(head)
        if isinstance(teams, Failure):
            return teams
        config.teams.update(teams)
        return config

    def keep_only(self, heads: Iterable[Head]) -> None:
        """Remove all parts that none of `heads` needs."""
        needed = {
            digest for head in heads for digest in self._needed_digests(head)
        }
        for cached in (self._contents, self._indexes, self._buckets):
            for digest in set(cached) - needed:
                cached.pop(digest)

    def _needed_digests(self, head: Head) -> Iterator[str]:
        for name, digest in head.parts.items():
            if name != TEAMS_SECTION:
                yield digest
        root = head.parts.get(TEAMS_SECTION)
        if root is None or not self._with_teams:
            return
        yield root
        for node in self._get_index(root).values():
            yield node
            yield from self._get_index(node).values()

    def _get_index(self, digest: str) -> dict[str, str]:
        found = self._indexes.get(digest)
        if found is not None:
            return found
        content = self._contents.get(digest)
        if content is None:
            return {}
        index = decode_index(content)
        self._indexes[digest] = index
        return index

    def _decode_teams(self, head: Head) -> TeamsByName | Failure:
        teams: TeamsByName = {}
        root = head.parts.get(TEAMS_SECTION)
        if root is None or not self._with_teams:
            return teams
        for node in self._get_index(root).values():
            for digest in self._get_index(node).values():
                bucket = self._get_bucket(digest)
                if isinstance(bucket, Failure):
                    return bucket
                teams.update(bucket)
        return teams

    def _get_bucket(self, digest: str) -> TeamsByName | Failure:
        found = self._buckets.get(digest)
        if found is not None:
            return found
        content = decompress_part(self._contents[digest])
        bucket = parse_json(content, TeamsByName, ErrorKind.INVALID_CONFIG)
        if not isinstance(bucket, Failure):
            self._buckets[digest] = bucket
        return bucket


def _group_into_buckets(
    teams: Mapping[str, Team],
) -> dict[str, dict[str, TeamsByName]]:
    grouped: dict[str, dict[str, TeamsByName]] = {}
    for name, team in teams.items():
        name_hash = xxhash.xxh3_64_intdigest(name.encode())
        node = str(name_hash % TREE_FAN_OUT)
        bucket = str(name_hash // TREE_FAN_OUT % TREE_FAN_OUT)
        grouped.setdefault(node, {}).setdefault(bucket, {})[name] = team
    return grouped
