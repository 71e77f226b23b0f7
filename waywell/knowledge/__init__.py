"""A node's view of routes and boxes, and how it is kept up to date."""
