"""Outcomes: claims that make a request run at most once, poison requests."""
