"""Adapter to the users' platform: translates its wire formats only."""
