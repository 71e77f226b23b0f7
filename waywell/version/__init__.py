"""Versioned state: the configuration, the roster and their documents."""
