"""A model of a fleet that compares policies of the product's decisions."""
