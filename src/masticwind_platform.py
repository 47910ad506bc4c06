"""Starts an entry on the platform from a source checkout.

The directory of this file is the first on the path of modules, so that the
package is found without being installed.
"""

import signal


def start() -> None:
    """Run the entry.

    SIGHUP must not end the process while the modules are still loading.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from masticwind.platform.main import main

    main()


if __name__ == '__main__':
    start()
