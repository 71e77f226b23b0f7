"""Log events, metrics and request histories of a process."""
