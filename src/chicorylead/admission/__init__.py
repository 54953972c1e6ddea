"""Load and admission decisions, without I/O."""
