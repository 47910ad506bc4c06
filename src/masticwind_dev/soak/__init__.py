"""Soak test of real entry processes under random faults."""
