"""A randomized soak test of node processes with injected faults."""
