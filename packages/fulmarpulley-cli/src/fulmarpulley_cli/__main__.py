"""Run the client with `python -m fulmarpulley_cli`."""

import sys

from .main import main

sys.exit(main())
