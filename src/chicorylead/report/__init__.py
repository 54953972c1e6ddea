"""Reports for operators on service levels, load, shares and single requests."""
