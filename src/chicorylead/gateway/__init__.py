"""The router on the users' platform."""
