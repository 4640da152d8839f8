"""Records behave like dataclasses, without the methods that dataclasses compile."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace

import pytest

from glenchute.policy.record import record


@record(frozen=True, slots=True)
class Point:
    """A frozen record."""

    x: int
    y: int = 2


@record(slots=True)
class Base:
    """A record that others inherit from."""

    x: int
    y: int = 2


@record(slots=True)
class Named(Base):
    """A record that inherits fields."""

    name: str = ""
    seen: list[int] = field(default_factory=list)


@dataclass
class Derived(Named):
    """A dataclass that inherits from a record."""

    more: int = 0


def test_a_record_behaves_like_a_dataclass() -> None:
    assert Point(1) == Point(1, 2) == Point(x=1) != Point(2) and Base(1) != Named(1)
    assert len({Point(1), Point(1, 2), Point(3)}) == 2
    assert repr(Point(1)) == "Point(x=1, y=2)" and repr(Named(1).seen) == "[]"
    first, second = Named(1, 2, "a"), Named(1, 2, "a")
    first.seen.append(1)
    assert first != second and second.seen == [] and not hasattr(first, "__dict__")
    assert replace(first, x=5).x == 5 and replace(first, x=5).seen == [1]
    assert [f.name for f in fields(Named)] == ["x", "y", "name", "seen"]
    assert Derived(1, more=4).more == 4 and Derived(1).seen == []
    match Point(1):
        case Point(x, y):
            assert (x, y) == (1, 2)
    for arguments in ((), (1, 2, 3)):
        with pytest.raises(TypeError):
            Point(*arguments)
    with pytest.raises(TypeError):
        hash(first)
