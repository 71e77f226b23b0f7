"""HTML reports of the benchmark runs in a journal."""
