"""What speaks against replicas and groups, and for them again."""
