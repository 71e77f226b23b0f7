"""Adapter for the users' platform: its names, formats and calls.

Wire names are decoded here into the project's own types and are not used
outside this package.  The adapter makes no decisions.
"""
