"""Run the daemon as a module."""

from .main import main

main()
