"""Run the node daemon with `python -m fulmarpulley_node`."""

from .main import main

main()
