"""Entry point of `python -m oatlink`."""

from oatlink.cli.main import main

main()
