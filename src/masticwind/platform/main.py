"""Command line of an entry on the platform."""

import os
import sys
from functools import partial
from pathlib import Path
from typing import Final

import anyio
from loguru import logger

from masticwind.logs import bind_process_fields, configure_logs
from masticwind.platform.documents import (
    ENTRIES,
    OPERATIONS,
    REGISTRATIONS,
    PlatformDecoder,
)
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.platform.headers import PlatformCodec
from masticwind.platform.store import PlatformStore
from masticwind.program import (
    EXIT_USAGE,
    SettingsFile,
    load_settings_or_exit,
    read_settings_file,
    stop_on_signals,
    watch_settings,
)
from masticwind.serving.server import (
    DirectEntry,
    PlatformAdapter,
    StorePrefixes,
)
from masticwind.serving.settings import DirectSettings, LiveSettings

# Where the platform says that it has put the settings.
SETTINGS_VARIABLE: Final = 'MASTICWIND_BOOT'


def main() -> None:
    """Run the program."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        sys.stderr.write(f'{SETTINGS_VARIABLE} names no settings file\n')
        sys.exit(EXIT_USAGE)
    settings = read_settings_file(Path(path), DirectSettings)
    cfg = load_settings_or_exit(settings.path, DirectSettings)
    anyio.run(
        _serve,
        settings,
        LiveSettings(cfg),
        backend_options={'use_uvloop': True},
    )


def platform_adapter(cfg: DirectSettings) -> PlatformAdapter:
    """Return what an entry needs of the platform."""
    return PlatformAdapter(
        store=PlatformStore(cfg.store),
        decoder=PlatformDecoder(),
        codec=PlatformCodec(),
        endpoint_client=PlatformEndpointClient(),
        prefixes=StorePrefixes(
            operations=OPERATIONS,
            registrations=REGISTRATIONS,
            entries=ENTRIES,
        ),
    )


async def _serve(
    settings: SettingsFile[DirectSettings],
    live: LiveSettings,
) -> None:
    cfg = live.cfg
    bind_process_fields('entry', cfg.node)
    async with anyio.create_task_group() as tasks:
        entry = DirectEntry(live, platform_adapter(cfg))
        await tasks.start(watch_settings, settings, partial(_adopt, live))
        tasks.start_soon(stop_on_signals, entry.drain, tasks.cancel_scope)
        tasks.start_soon(entry.run)
        logger.bind(
            zone=cfg.zone,
            listen=cfg.listen,
            store=cfg.store.address,
        ).info('started')


def _adopt(live: LiveSettings, cfg: DirectSettings) -> None:
    live.update(cfg)
    configure_logs(cfg.log_level)


if __name__ == '__main__':
    main()
