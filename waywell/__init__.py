"""Serves models whose replicas span several boxes."""
