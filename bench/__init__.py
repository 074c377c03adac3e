"""Experiments that measure wisteriasill against its targets."""
