"""Program that runs an entry instance on the platform."""

import os
import sys
from functools import partial
from pathlib import Path
from typing import Final

import anyio
from loguru import logger

from masticwind.logs import bind_process_fields, configure_logs
from masticwind.platform.documents import (
    CRASHES_PREFIX,
    ENTRIES_PREFIX,
    OPERATIONS_PREFIX,
    REGISTRATIONS_PREFIX,
    PlatformDecoder,
)
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.platform.headers import PlatformCodec
from masticwind.platform.store import PlatformStore
from masticwind.program import (
    EXIT_USAGE,
    SettingsFile,
    StoppableProgram,
    StopSignal,
    load_settings_or_exit,
    read_settings_file,
    watch_settings,
)
from masticwind.serving.adapter import PlatformAdapter, StorePrefixes
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import DirectSettings, LiveSettings
from masticwind.startup_heap import complete_uncollected_start

# The platform sets this variable to the path of the settings file.
SETTINGS_VARIABLE: Final = 'MASTICWIND_BOOT'


def main() -> None:
    """Load the settings and run the entry until it is stopped."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        sys.stderr.write(f'{SETTINGS_VARIABLE} does not name a settings file\n')
        sys.exit(EXIT_USAGE)
    settings = read_settings_file(Path(path), DirectSettings)
    cfg = load_settings_or_exit(settings.path, DirectSettings)
    anyio.run(
        _run_entry,
        settings,
        LiveSettings(cfg),
        backend_options={'use_uvloop': True},
    )


def platform_adapter(cfg: DirectSettings) -> PlatformAdapter:
    """Return the parts through which an entry uses the platform."""
    return PlatformAdapter(
        store=PlatformStore(cfg.store),
        decoder=PlatformDecoder(),
        codec=PlatformCodec(),
        endpoint_client=PlatformEndpointClient(),
        prefixes=StorePrefixes(
            operations=OPERATIONS_PREFIX,
            registrations=REGISTRATIONS_PREFIX,
            entries=ENTRIES_PREFIX,
            crashes=CRASHES_PREFIX,
        ),
    )


async def _run_entry(
    settings: SettingsFile[DirectSettings],
    live: LiveSettings,
) -> None:
    cfg = live.cfg
    bind_process_fields('entry', cfg.node)
    async with anyio.create_task_group() as tasks:
        entry = DirectEntry(live, platform_adapter(cfg))
        await tasks.start(
            watch_settings, settings, partial(_apply_settings, live)
        )
        stop_signal = StopSignal()
        drain = partial(entry.drain, stop_signal.age_s)
        program = StoppableProgram(entry.run, drain, stop_signal)
        await tasks.start(program.run)
        logger.bind(
            zone=cfg.zone,
            listen=cfg.listen,
            store=cfg.store.address,
        ).info('started')
        await entry.wait_until_serving()
        complete_uncollected_start()


def _apply_settings(live: LiveSettings, cfg: DirectSettings) -> None:
    live.update(cfg)
    configure_logs(cfg.log_level)


if __name__ == '__main__':
    main()
