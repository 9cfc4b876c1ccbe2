"""Control fulmarpulley from the command line."""
