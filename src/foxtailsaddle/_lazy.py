"""Lazy imports: a package loads a module when one of its names is first used."""

import importlib
import sys
import typing as t


def lazy_getattr(
    package: str, module_by_name: t.Mapping[str, str]
) -> t.Callable[[str], t.Any]:
    """Return a module ``__getattr__`` that imports names of a package on first use.

    A process then loads only the modules that it uses.

    :param package: name of the package.
    :param module_by_name: the relative module that defines each name.
    """

    def load(name: str) -> t.Any:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(module, package), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
