"""`python -m oatlink.platform`: one gateway, told by the GW_ variables and the file that they name."""

import sys

from oatlink.platform import signals


def main() -> int:
    """Run until an orderly end; 2 where the configuration is wrong."""
    signals.block()  # until the gateway takes them: the imports below are most of its start
    from oatlink.platform.start import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
