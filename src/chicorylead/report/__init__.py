"""Reports for operators: service levels and their burn."""
