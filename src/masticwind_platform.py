"""Starts an entry on the platform from a source checkout.

The directory of this script is first on `sys.path`, so the package need not be
installed.
"""

import gc
import os
import signal


def start() -> None:
    """Run the entry.

    Collections would take about a tenth of the processor time until callers
    are served; `main` enables them then. SIGHUP must not end the process while
    modules are being imported.
    """
    gc.disable()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # loguru's default handler, which `configure_logs` replaces, takes 3 ms.
    os.environ.setdefault('LOGURU_AUTOINIT', '0')
    from masticwind.platform.main import main

    main()


if __name__ == '__main__':
    start()
