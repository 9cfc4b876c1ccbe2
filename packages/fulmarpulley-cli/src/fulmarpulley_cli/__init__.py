"""Provide the command-line client of fulmarpulley."""
