"""Write log events and collect metrics."""
