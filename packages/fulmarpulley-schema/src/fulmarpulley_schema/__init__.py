"""Define the message and settings types of fulmarpulley."""
