"""The agent: the process that runs beside each endpoint and guards it."""
