"""The least settings that an entry node starts with, for tests."""

SETTINGS = """
[node]
name = "e1"
hall = "h"
[platform]
url = "http://127.0.0.1:1"
"""
