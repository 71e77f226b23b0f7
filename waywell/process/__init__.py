"""Entry daemons: settings, assembly of their components, and duties."""
