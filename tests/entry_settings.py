"""Minimal settings with which an entry node starts."""

SETTINGS = """
[node]
name = "e1"
hall = "h"
[platform]
url = "http://127.0.0.1:1"
"""
