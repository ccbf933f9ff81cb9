"""`python -m oatlink.lab.fleetsim`: play seeds of a scenario, shrink and print what fails."""

import sys

from oatlink.lab.fleetsim.runner import main

sys.exit(main(sys.argv[1:]))
