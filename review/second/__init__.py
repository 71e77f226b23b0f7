"""Stand-ins and harness of the second review's cases."""
