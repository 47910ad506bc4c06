"""The entry: callers' HTTP, admission, routing and relay."""
