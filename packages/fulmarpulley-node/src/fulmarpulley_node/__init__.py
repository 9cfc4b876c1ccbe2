"""Provide the fulmarpulley node daemon."""
