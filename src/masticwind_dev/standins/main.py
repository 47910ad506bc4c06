"""Program that runs one stand-in.

The first line on standard output is the port, which the system may choose.
"""

from typing import Annotated, Any, Literal

import anyio
import cyclopts
import msgspec

from masticwind.settings import Address
from masticwind.web import App, WebServer
from masticwind_dev.standins.engine import EngineModel, EngineStandin
from masticwind_dev.standins.instances import InstancesStandin
from masticwind_dev.standins.keyvalue import KeyValueStandin
from masticwind_dev.standins.service import ServiceStandin
from masticwind_dev.standins.weights import WeightsStandin

Kind = Literal['engine', 'service', 'keyvalue', 'instances', 'weights']

cli = cyclopts.App(name='masticwind-standin', help='Run one stand-in.')


@cli.default
def main(
    kind: Kind,
    *,
    port: Annotated[int, cyclopts.Parameter(help='TCP port, 0 for any')] = 0,
    options: Annotated[str, cyclopts.Parameter(help='options as JSON')] = '{}',
) -> None:
    """Serve the stand-in KIND on loopback until interrupted."""
    anyio.run(_serve, kind, port, msgspec.json.decode(options))


async def _serve(kind: Kind, port: int, options: dict[str, Any]) -> None:
    async with anyio.create_task_group() as tasks:
        app = _create_app(kind, options, tasks)
        server = WebServer(app, Address(port=port))
        print(server.port, flush=True)
        await server.run()


def _create_app(
    kind: Kind,
    options: dict[str, Any],
    tasks: anyio.abc.TaskGroup,
) -> App:
    if kind == 'engine':
        engine = EngineStandin(EngineModel(**options))
        tasks.start_soon(engine.run)
        return engine.app
    if kind == 'keyvalue':
        store = KeyValueStandin()
        tasks.start_soon(store.run)
        return store.app
    if kind == 'instances':
        return InstancesStandin(**options).app
    if kind == 'weights':
        return WeightsStandin(**options).app
    return ServiceStandin().app


if __name__ == '__main__':
    cli()
