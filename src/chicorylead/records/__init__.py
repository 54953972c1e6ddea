"""Configuration records: schemas, the store of the records in force, and the log."""
