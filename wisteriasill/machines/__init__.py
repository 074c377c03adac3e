"""Machines of the fleet: hosts, targets, members and entry hosts."""
