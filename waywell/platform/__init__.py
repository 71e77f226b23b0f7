"""The users' platform: its names, formats and calls, and nothing that decides.

Wire names are decoded here once into the project's own types.  Nothing outside
of this folder knows them.
"""
