"""The entry: HTTP for callers, admission, routing and relaying."""
