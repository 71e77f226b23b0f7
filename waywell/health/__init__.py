"""Evidence of the health of replicas and groups, and of a node's links."""
