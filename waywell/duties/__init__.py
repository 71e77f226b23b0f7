"""What one node does for all: leases, and the forming of groups."""
