"""Names, formats and calls of the users' platform; it decides nothing."""
