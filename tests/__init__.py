"""Tests of masticwind."""
