"""Run one node of fulmarpulley."""
