"""Fault injection: TCP proxy, process control and the fault matrix."""
