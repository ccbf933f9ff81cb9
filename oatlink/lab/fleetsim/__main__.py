"""`python -m oatlink.lab.fleetsim`: runs a scenario for a range of seeds, and shrinks and prints failures."""

import sys

from oatlink.lab.fleetsim.runner import main

sys.exit(main(sys.argv[1:]))
