"""What a process tells of itself: log lines, metrics, gauges."""
