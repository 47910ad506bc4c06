"""Starts an entry on the platform from a source checkout.

The directory of this script is first on `sys.path`, so the package need not be
installed.
"""

import signal


def start() -> None:
    """Run the entry.

    SIGHUP must not end the process while modules are being imported.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from masticwind.platform.main import main

    main()


if __name__ == '__main__':
    start()
