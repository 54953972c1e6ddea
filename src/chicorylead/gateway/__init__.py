"""The router as it runs on the users' platform."""
