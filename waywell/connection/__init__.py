"""What lives for a connection: callers, targets, peers, platform."""
