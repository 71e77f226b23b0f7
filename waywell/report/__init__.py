"""Reports drawn from the journal of played days."""
