"""Links to callers, targets, peers, operators and the platform."""
