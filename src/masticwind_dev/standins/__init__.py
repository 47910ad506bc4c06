"""Stand-ins for the platform's services, engines and plain services."""
