"""Detection and quarantine of requests that crash the replicas they run on."""
