"""Load, experiments and measurements."""
