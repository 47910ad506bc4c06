"""Simulates a workload on placers, with modelled engines and no network."""
