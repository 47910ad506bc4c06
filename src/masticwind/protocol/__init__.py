"""The inner protocol between the system's processes, over WebSockets."""
