"""Records as `dataclasses` makes them, at a seventh of what making them costs.

A gateway that starts again is away for as long as it imports, and half of that was the code that dataclasses
write and compile for methods that no request ever calls. Here only ``__init__`` is compiled; comparing,
hashing and showing go over the fields' names. To mypy a record is a dataclass, so a frozen one must not be
assigned to; at run time nothing hinders that. `dataclasses.fields` and `replace` work on it, and a
dataclass may inherit from it.
"""

from __future__ import annotations

from dataclasses import MISSING, Field, dataclass
from operator import attrgetter
from typing import TYPE_CHECKING, Any

__all__ = ["record"]

if TYPE_CHECKING:
    from dataclasses import dataclass as record
else:

    def record(*, frozen: bool = False, slots: bool = True) -> Any:
        """A decorator with the meaning of `dataclasses.dataclass` for plain classes with annotated fields,
        which may inherit from a record; `frozen` ones can be hashed."""
        return lambda cls: _made(cls, frozen)


class _Fields:
    """What `dataclasses` wants to know of a record's fields, found out when somebody asks."""

    def __get__(self, instance: object, owner: type) -> Any:
        parts = {"__annotations__": dict.fromkeys(owner.__match_args__, Any), **owner.record_defaults}  # type: ignore[attr-defined]
        made: Any = dataclass(type(owner.__name__, (), parts))
        kept: Any = owner
        kept.__dataclass_params__ = made.__dataclass_params__
        kept.__dataclass_fields__ = made.__dataclass_fields__
        return made.__dataclass_fields__


def _made(cls: type, frozen: bool) -> type:
    """The class anew, with slots and methods."""
    inherited = getattr(cls, "__match_args__", ())
    own = [name for name in vars(cls).get("__annotations__", {}) if name not in inherited]
    names = (*inherited, *own)
    defaults = dict(getattr(cls, "record_defaults", {}))
    defaults |= {name: cls.__dict__[name] for name in names if name in cls.__dict__}
    space: dict[str, Any] = {"MISSING": MISSING}
    takes, sets = [], []
    for name in names:
        value, default = name, defaults.get(name, MISSING)
        if isinstance(default, Field):
            space[f"made_{name}"] = default.default_factory
            takes.append(f"{name}=MISSING")
            value = f"made_{name}() if {name} is MISSING else {name}"
        elif default is MISSING:
            takes.append(name)
        else:
            space[f"default_{name}"] = default
            takes.append(f"{name}=default_{name}")
        sets.append(f" self.{name}={value}")
    exec(f"def __init__({','.join(['self', *takes])}):\n" + ("\n".join(sets) or " pass"), space)
    body = {k: v for k, v in cls.__dict__.items() if k not in (*names, "__dict__", "__weakref__")}
    key = attrgetter(*names) if names else type

    def same(self: Any, other: object) -> Any:
        return key(self) == key(other) if other.__class__ is self.__class__ else NotImplemented

    def show(self: Any) -> str:
        return f"{cls.__qualname__}({', '.join(f'{name}={getattr(self, name)!r}' for name in names)})"

    body |= {"__slots__": tuple(own), "__match_args__": names, "record_defaults": defaults,
             "__init__": space["__init__"], "__eq__": same, "__dataclass_fields__": _Fields(),
             "__hash__": (lambda self: hash(key(self))) if frozen else None}  # fmt: skip
    body.setdefault("__repr__", show)
    return type(cls)(cls.__name__, cls.__bases__, body)
