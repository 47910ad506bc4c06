"""Development tools: stand-ins, faults, the local runner and the bench.

Nothing in `masticwind` imports this package.
"""
