"""The inner protocol between the system's own processes."""
