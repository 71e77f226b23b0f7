"""Benchmarks, each with its command."""
