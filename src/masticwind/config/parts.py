"""Content-addressed parts of a configuration.

A configuration is stored as parts named by the SHA-256 digest of their
content and a manifest that lists them, so that an unchanged part is neither
written nor transferred again.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, fields

import msgspec

from masticwind.config.model import Configuration
from masticwind.errors import ErrorKind, Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The head of the configuration: its generation and its parts.

    `writer` is a unique token of the write that made this generation, by
    which a writer recognises its own write after a lost response.
    """

    number: int
    writer: str
    operator: str
    applied_at: str
    parts: dict[str, str]


def split(config: Configuration) -> tuple[dict[str, str], dict[str, bytes]]:
    """Return the digests by part name and the contents by digest."""
    names: dict[str, str] = {}
    contents: dict[str, bytes] = {}
    for one in fields(config):
        content = msgspec.json.encode(getattr(config, one.name), order='sorted')
        digest = hashlib.sha256(content).hexdigest()
        names[one.name] = digest
        contents[digest] = content
    return names, contents


def join(
    head: Head,
    contents: Mapping[str, bytes],
) -> Configuration | Failure:
    """Return the configuration that `head` names.

    Returns a `Failure` of kind `not_found` if a part is missing and of kind
    `invalid_config` if one does not decode.
    """
    sections: dict[str, msgspec.Raw] = {}
    for name, digest in head.parts.items():
        content = contents.get(digest)
        if content is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'part {name} is missing',
            )
        sections[name] = msgspec.Raw(content)
    try:
        return msgspec.json.decode(
            msgspec.json.encode(sections),
            type=Configuration,
        )
    except msgspec.ValidationError as exc:
        return Failure(kind=ErrorKind.INVALID_CONFIG, reason=str(exc))
