"""Makes a valid value of any message type, from the types of its fields."""

from __future__ import annotations

from typing import Any, get_args

import msgspec
from msgspec import inspect


def make_samples(union: Any) -> list[Any]:
    """Return a message of each type of a union, or one of a single type."""
    return [make_value(inspect.type_info(kind)) for kind in get_args(union) or (union,)]


def make_value(kind: inspect.Type) -> Any:
    """Return a value of a type, with one item in each collection."""
    if isinstance(kind, inspect.StructType | inspect.DataclassType):
        fields = {field.name: make_value(field.type) for field in kind.fields}
        return kind.cls(**fields)
    if isinstance(kind, inspect.UnionType):
        return make_value(kind.types[0])
    if isinstance(kind, inspect.DictType):
        return {make_value(kind.key_type): make_value(kind.value_type)}
    if isinstance(kind, inspect.TupleType):
        return tuple(make_value(item) for item in kind.item_types)
    if isinstance(kind, inspect.VarTupleType):
        return (make_value(kind.item_type),)
    if isinstance(kind, inspect.ListType):
        return [make_value(kind.item_type)]
    if isinstance(kind, inspect.SetType | inspect.FrozenSetType):
        return frozenset((make_value(kind.item_type),))
    if isinstance(kind, inspect.EnumType):
        return next(iter(kind.cls))
    if isinstance(kind, inspect.LiteralType):
        return kind.values[0]
    return _make_scalar(kind)


def _make_scalar(kind: inspect.Type) -> Any:
    """Return a value of a type without parts; raise NotImplementedError for an unknown one."""
    if isinstance(kind, inspect.IntType):
        return int(kind.ge or 1)
    if isinstance(kind, inspect.FloatType):
        return float(kind.ge or 0.5)
    if isinstance(kind, inspect.BoolType):
        return True
    if isinstance(kind, inspect.StrType):
        return "x" * max(1, kind.min_length or 0)
    if isinstance(kind, inspect.BytesType):
        return b"x"
    if isinstance(kind, inspect.NoneType):
        return None
    if isinstance(kind, inspect.AnyType):
        return {"a": [1, 2.5, None, "text"]}
    raise NotImplementedError(f"no sample of {kind}")


def encode_json(*values: Any) -> tuple[bytes, ...]:
    """Return each value in JSON."""
    return tuple(msgspec.json.encode(value) for value in values)
