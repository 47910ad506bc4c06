"""The local runner: everything in one process, for a first look."""
