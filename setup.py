"""Builds the decisions and codecs of `[tool.oatlink] native` in pyproject.toml to machine code, by mypyc.

Where there is no C compiler, or one that fails, the same wheel holds plain Python alone: all of it is compiled or
nothing is. `OATLINK_PLAIN=1` asks for plain Python. Nothing is written into the source tree.
"""

import os
import shutil
import sys
import tempfile
import tomllib
from pathlib import Path

from setuptools import Distribution, setup
from setuptools.command.build_ext import build_ext

PLACE = tempfile.mkdtemp(prefix="oatlink-build-")
MODULES = tomllib.loads(Path("pyproject.toml").read_text(encoding="utf-8"))["tool"]["oatlink"]["native"]


class Native(build_ext):
    """All modules of the list, or none."""

    def finalize_options(self) -> None:
        if self.distribution.ext_modules is None:
            self.distribution.ext_modules = self._extensions()
        super().finalize_options()
        self.parallel = self.parallel or os.cpu_count()

    def _extensions(self) -> list:
        try:
            from mypyc.build import mypycify

            # No configuration: the project's own is strict, and needs packages that a build has no use for.
            options = ["--config-file=", "--ignore-missing-imports", "--cache-dir", f"{PLACE}/types", *MODULES]
            level = os.environ.get("OATLINK_OPTIMIZE", "2")
            return mypycify(options, opt_level=level, debug_level="0", separate=True, target_dir=PLACE)
        except (Exception, SystemExit) as problem:
            self._plain(problem)
            return []

    def run(self) -> None:
        try:
            super().run()
        except Exception as problem:  # no compiler, no headers, no room: whatever it is, plain Python is there
            self._plain(problem)
            for one in Path(self.build_lib).rglob("*.so"):
                one.unlink()
            self.distribution.ext_modules = self.extensions = []

    def _plain(self, problem: BaseException) -> None:
        print(f"oatlink: plain Python only, nothing was compiled: {problem}", file=sys.stderr)


class Package(Distribution):
    """Says that there is something to compile before it is known what."""

    def has_ext_modules(self) -> bool:
        return os.environ.get("OATLINK_PLAIN", "") != "1"


try:
    setup(
        distclass=Package,
        cmdclass={"build_ext": Native},
        options={"build": {"build_base": PLACE}, "egg_info": {"egg_base": PLACE}},
    )
finally:
    shutil.rmtree(PLACE, ignore_errors=True)
