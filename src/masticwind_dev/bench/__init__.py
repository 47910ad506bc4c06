"""Load generation, experiments and cost measurements."""
