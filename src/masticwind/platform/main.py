"""Command line of an entry on the platform."""

import os
import sys
from pathlib import Path
from typing import Final

import anyio
from loguru import logger

from masticwind.logs import name_process
from masticwind.platform.documents import (
    ENTRIES,
    OPERATIONS,
    REGISTRATIONS,
    PlatformDecoder,
)
from masticwind.platform.endpoints import PlatformLink
from masticwind.platform.headers import PlatformEdge
from masticwind.platform.store import PlatformStore
from masticwind.program import (
    EXIT_USAGE,
    load_or_exit,
    reload_on_change,
    stop_on_signals,
)
from masticwind.serving.server import Adapter, DirectEntry, Prefixes
from masticwind.serving.settings import DirectSettings, LiveSettings

# Where the platform says that it has put the settings.
SETTINGS_VARIABLE: Final = 'MASTICWIND_BOOT'


def main() -> None:
    """Run the program."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        sys.stderr.write(f'{SETTINGS_VARIABLE} names no settings file\n')
        sys.exit(EXIT_USAGE)
    cfg = load_or_exit(Path(path), DirectSettings)
    anyio.run(
        _serve,
        Path(path),
        LiveSettings(cfg),
        backend_options={'use_uvloop': True},
    )


async def _serve(path: Path, settings: LiveSettings) -> None:
    cfg = settings.cfg
    adapter = Adapter(
        store=PlatformStore(cfg.store),
        decoder=PlatformDecoder(),
        edge=PlatformEdge(),
        link=PlatformLink(),
        prefixes=Prefixes(
            operations=OPERATIONS,
            registrations=REGISTRATIONS,
            entries=ENTRIES,
        ),
    )
    async with anyio.create_task_group() as tasks:
        entry = DirectEntry(settings, adapter)
        name_process('entry', cfg.node)
        logger.bind(
            zone=cfg.zone,
            listen=cfg.listen,
            store=cfg.store.address,
        ).info('started')
        tasks.start_soon(stop_on_signals, entry.drain, tasks.cancel_scope)
        tasks.start_soon(reload_on_change, path, DirectSettings, settings.adopt)
        tasks.start_soon(entry.run)


if __name__ == '__main__':
    main()
