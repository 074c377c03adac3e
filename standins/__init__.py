"""Stand-ins for the platform and the back ends; not deployed."""
