"""Starts an entry on the platform from a source checkout.

The directory of this file is the first on the path of modules, so that the
package is found without being installed.
"""

from masticwind.platform.main import main

main()
