"""The agent: the one process beside each endpoint."""
