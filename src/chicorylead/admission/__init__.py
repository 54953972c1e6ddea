"""Decisions on load, free of input and output."""
