"""What lives for a process: settings, membership, leases, the daemon."""
