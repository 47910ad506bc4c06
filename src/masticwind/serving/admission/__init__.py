"""Admission of requests: what may be sent, and how much of it."""
