"""A seeded soak of real gateway processes under faults from outside."""
