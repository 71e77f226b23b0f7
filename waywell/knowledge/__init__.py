"""What a node knows of routes and boxes, and how it stays the newest."""
