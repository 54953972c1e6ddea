"""Membership of the fleet, and the choice of router addresses for callers."""
