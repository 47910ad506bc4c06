"""Interfaces to the endpoints and their HTTP adapters."""
