"""Machines of the fleet and the controllers of their hosts and jobs."""
