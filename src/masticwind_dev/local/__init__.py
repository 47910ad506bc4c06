"""A demo that runs a whole fleet in one process."""
