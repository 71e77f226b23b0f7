"""Stand-ins for the platform and for targets, for tests and the demo."""
