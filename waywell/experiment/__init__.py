"""Simulation of a fleet that compares policies of the daemons' decisions."""
