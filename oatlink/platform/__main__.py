"""`python -m oatlink.platform`: one gateway, configured by the GW_ variables and the file that they name."""

import sys

from oatlink.platform import signals


def main() -> int:
    """Run until an orderly shutdown. Returns the exit code: 2 if the configuration is wrong."""
    signals.block()  # until the gateway has handlers: the imports below take most of its startup time
    from oatlink.platform.start import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
