"""The gateway and its decisions, without the users' bench."""
