"""What a platform provides for direct serving."""

from dataclasses import dataclass

from masticwind.serving.directory import StoreDecoder
from masticwind.serving.edge import CallerCodec
from masticwind.serving.interfaces import EndpointClient
from masticwind.serving.store import MetadataStore


@dataclass(frozen=True, slots=True, kw_only=True)
class StorePrefixes:
    """Key prefixes in the store."""

    operations: str
    registrations: str
    entries: str
    crashes: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAdapter:
    """The platform's implementations of the interfaces of direct serving."""

    store: MetadataStore
    decoder: StoreDecoder
    codec: CallerCodec
    endpoint_client: EndpointClient
    prefixes: StorePrefixes
