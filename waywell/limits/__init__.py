"""Limits that replicas name, which all nodes keep together."""
