"""Configuration records: their forms, the store of what is in force, the log."""
