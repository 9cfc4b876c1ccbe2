"""Write log events and measure."""
