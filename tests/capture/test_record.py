"""Records are dataclasses to whoever looks, without what dataclasses compile."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace

import pytest

from glenchute.policy.record import record


@record(frozen=True, slots=True)
class Point:
    """A point."""

    x: int
    y: int = 2


@record(slots=True)
class Base:
    """To inherit from."""

    x: int
    y: int = 2


@record(slots=True)
class Named(Base):
    """Inherits."""

    name: str = ""
    seen: list[int] = field(default_factory=list)


@dataclass
class Plain(Named):
    more: int = 0


def test_a_record_is_what_a_dataclass_is() -> None:
    assert Point(1) == Point(1, 2) == Point(x=1) != Point(2) and Base(1) != Named(1)
    assert len({Point(1), Point(1, 2), Point(3)}) == 2
    assert repr(Point(1)) == "Point(x=1, y=2)" and repr(Named(1).seen) == "[]"
    one, other = Named(1, 2, "a"), Named(1, 2, "a")
    one.seen.append(1)
    assert one != other and other.seen == [] and not hasattr(one, "__dict__")
    assert replace(one, x=5).x == 5 and replace(one, x=5).seen == [1]
    assert [f.name for f in fields(Named)] == ["x", "y", "name", "seen"]
    assert Plain(1, more=4).more == 4 and Plain(1).seen == []
    match Point(1):
        case Point(x, y):
            assert (x, y) == (1, 2)
    for wrong in ((), (1, 2, 3)):
        with pytest.raises(TypeError):
            Point(*wrong)
    with pytest.raises(TypeError):
        hash(one)
