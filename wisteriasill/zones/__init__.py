"""Regions, availability zones, racks and the hosts arranged in them."""
