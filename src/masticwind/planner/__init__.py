"""Placement of models on endpoints."""
