"""Serving system for models whose replicas span several boxes."""
