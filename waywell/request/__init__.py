"""What lives for a request: facts, admission, choice, claims, retry."""
