"""Membership of the entry boxes, and the streams between them."""
