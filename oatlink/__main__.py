"""`python -m oatlink`."""

from oatlink.cli.main import main

main()
