"""Work that one elected node does for all nodes: leases and group forming."""
