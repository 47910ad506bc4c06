"""Placement of requests on endpoints, and what it knows of them."""
