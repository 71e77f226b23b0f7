"""Benchmarks; each module runs one as a command."""
