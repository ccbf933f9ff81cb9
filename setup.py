"""Compiles the modules listed in `[tool.oatlink] native` in pyproject.toml to machine code with mypyc.

Without a C compiler, or if it fails, the wheel contains only plain Python: either all modules are compiled or none.
`OATLINK_PLAIN=1` requests plain Python. Nothing is written into the source tree.
"""

import os
import shutil
import sys
import tempfile
import tomllib
from pathlib import Path

from setuptools import Distribution, setup
from setuptools.command.build_ext import build_ext

BUILD_DIR = tempfile.mkdtemp(prefix="oatlink-build-")
MODULES = tomllib.loads(Path("pyproject.toml").read_text(encoding="utf-8"))["tool"]["oatlink"]["native"]


class NativeBuild(build_ext):
    """Compiles all modules of the list, or none."""

    def finalize_options(self) -> None:
        if self.distribution.ext_modules is None:
            self.distribution.ext_modules = self._extensions()
        super().finalize_options()
        self.parallel = self.parallel or os.cpu_count()

    def _extensions(self) -> list:
        try:
            from mypyc.build import mypycify

            # The project's mypy configuration is not used: it is strict, and needs packages that a build does not.
            options = ["--config-file=", "--ignore-missing-imports", "--cache-dir", f"{BUILD_DIR}/types", *MODULES]
            level = os.environ.get("OATLINK_OPTIMIZE", "2")
            return mypycify(options, opt_level=level, debug_level="0", separate=True, target_dir=BUILD_DIR)
        except (Exception, SystemExit) as error:
            self._report_plain(error)
            return []

    def run(self) -> None:
        try:
            super().run()
        except Exception as error:  # whatever fails (no compiler, headers or disk space), plain Python is left
            self._report_plain(error)
            for library in Path(self.build_lib).rglob("*.so"):
                library.unlink()
            self.distribution.ext_modules = self.extensions = []

    def _report_plain(self, error: BaseException) -> None:
        print(f"oatlink: plain Python only, nothing was compiled: {error}", file=sys.stderr)


class Package(Distribution):
    """Declares extension modules before it is known which ones there are."""

    def has_ext_modules(self) -> bool:
        return os.environ.get("OATLINK_PLAIN", "") != "1"


try:
    setup(
        distclass=Package,
        cmdclass={"build_ext": NativeBuild},
        options={"build": {"build_base": BUILD_DIR}, "egg_info": {"egg_base": BUILD_DIR}},
    )
finally:
    shutil.rmtree(BUILD_DIR, ignore_errors=True)
