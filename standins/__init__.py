"""Stand-ins for the platform and for back ends; not deployed."""
