"""Requests that crash the replicas that run them: found, told, held back."""
