"""Rate limits reported by replicas and enforced by all nodes together.

Messages, log events and metrics call a permit a turn and its issuer a dealer.
"""
