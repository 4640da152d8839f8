"""A `record` decorator: slotted dataclasses that are cheap to define.

A restarting gateway is unavailable while it imports its modules, and half of that time went into code that
`dataclass` generates and compiles for methods that no request calls. Here only ``__init__`` is compiled, when
the first instance of a class is created; ``__eq__``, ``__hash__`` and ``__repr__`` iterate over field names.
For mypy a record is a dataclass, so it reports assignments to a frozen one; at run time they are not checked.
`dataclasses.fields` and `replace` work on records, and a dataclass may inherit from one.
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
        """Works like `dataclasses.dataclass` for plain classes with annotated fields, which may inherit from
        a record. Instances of a `frozen` record are hashable."""
        return lambda cls: _make_record(cls, frozen)


class _LazyFields:
    """The descriptor behind ``__dataclass_fields__``: creates the fields at the first access."""

    def __get__(self, instance: object, owner: type) -> Any:
        namespace = {"__annotations__": dict.fromkeys(owner.__match_args__, Any), **owner.record_defaults}  # type: ignore[attr-defined]
        template: Any = dataclass(type(owner.__name__, (), namespace))
        record_class: Any = owner
        record_class.__dataclass_params__ = template.__dataclass_params__
        record_class.__dataclass_fields__ = template.__dataclass_fields__
        return template.__dataclass_fields__


def _compile_constructor(names: tuple[str, ...], defaults: dict[str, Any]) -> Any:
    """Compiles ``__init__`` for fields of these names."""
    namespace: dict[str, Any] = {"MISSING": MISSING}
    parameters, assignments = [], []
    for name in names:
        value, default = name, defaults.get(name, MISSING)
        if isinstance(default, Field):
            namespace[f"make_{name}"] = default.default_factory
            parameters.append(f"{name}=MISSING")
            value = f"make_{name}() if {name} is MISSING else {name}"
        elif default is MISSING:
            parameters.append(name)
        else:
            namespace[f"default_{name}"] = default
            parameters.append(f"{name}=default_{name}")
        assignments.append(f" self.{name}={value}")
    header = f"def __init__({','.join(['self', *parameters])}):\n"
    exec(header + ("\n".join(assignments) or " pass"), namespace)
    return namespace["__init__"]


def _make_record(cls: type, frozen: bool) -> type:
    """Returns a copy of the class with slots and the methods of a dataclass."""
    inherited = getattr(cls, "__match_args__", ())
    own = [name for name in vars(cls).get("__annotations__", {}) if name not in inherited]
    names = (*inherited, *own)
    defaults = dict(getattr(cls, "record_defaults", {}))
    defaults |= {name: cls.__dict__[name] for name in names if name in cls.__dict__}
    body = {k: v for k, v in cls.__dict__.items() if k not in (*names, "__dict__", "__weakref__")}
    values_of = attrgetter(*names) if names else type

    def equals(self: Any, other: object) -> Any:
        return values_of(self) == values_of(other) if other.__class__ is self.__class__ else NotImplemented

    def represent(self: Any) -> str:
        return f"{cls.__qualname__}({', '.join(f'{name}={getattr(self, name)!r}' for name in names)})"

    def initialize(self: Any, *values: Any, **named_values: Any) -> None:
        # The class gets the compiled constructor, so later instances call it directly.
        slotted_class.__init__ = _compile_constructor(names, defaults)
        slotted_class.__init__(self, *values, **named_values)

    body |= {"__slots__": tuple(own), "__match_args__": names, "record_defaults": defaults,
             "__init__": initialize, "__eq__": equals, "__dataclass_fields__": _LazyFields(),
             "__hash__": (lambda self: hash(values_of(self))) if frozen else None}  # fmt: skip
    body.setdefault("__repr__", represent)
    slotted_class: Any = type(cls)(cls.__name__, cls.__bases__, body)
    return slotted_class  # type: ignore[no-any-return]
