"""A randomized fault soak of entries that run as real processes."""
