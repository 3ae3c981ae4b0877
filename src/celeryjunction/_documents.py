"""Documents written by operators: reading, checking and reporting every problem.

Settings and contracts are JSON with comments. A document is checked field by field
against a msgspec struct, so that one run reports all its problems. Limits stand in
the struct's annotations as `msgspec.Meta`; three keys of its ``extra`` add to them:
``wanted`` describes a good value, ``check`` is a function that returns what is wrong
with a value (or None), and ``secret`` keeps the value out of every message.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from difflib import get_close_matches
from functools import cache, singledispatch
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec
from msgspec import inspect

MAX_DOCUMENT_CHARACTERS = 1_000_000
"""The key-value service holds values of up to 1 MB, so no document is larger."""
MAX_COMMENTED_CHARACTERS = 100_000
"""Limit for JSON with comments: json5 took 60 µs for each character, so that 100,000
take about 6 s."""

_MAX_SHOWN = 80
_TOKEN = re.compile(
    r"//[^\n\r\u2028\u2029]*|/\*.*?\*/"
    r"|\"(?:\\.|[^\"\\])*\"|'(?:\\.|[^'\\])*'"
    r"|[{}\[\]:,]|[^\s{}\[\]:,\"'/]+",
    re.DOTALL,
)
_PLAIN_KEY = re.compile(r"[A-Za-z0-9_-]+\Z")
_MISSING = object()

T = TypeVar("T")
CrossCheck = Callable[[Mapping[str, Any]], Iterable["Problem"]]


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a document.

    `place` is the path of the field, for example ``listen.port`` or
    ``work.counter.rank``, and empty for the document as a whole. `line` counts from
    1 and is None when the field does not appear in the text.
    """

    place: str
    message: str
    remedy: str
    line: int | None = None

    def __str__(self) -> str:
        where = self.place or "document"
        if self.line is not None:
            where = f"{where} (line {self.line})"
        return f"{where}: {self.message}; {self.remedy}"


class DocumentError(Exception):
    """A document cannot be used. `problems` holds everything that is wrong with it."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self._problems = tuple(problems)
        super().__init__("\n".join(map(str, self._problems)))

    @property
    def problems(self) -> tuple[Problem, ...]:
        """The problems, in the order of the fields."""
        return self._problems


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed document: its values and the text that they came from."""

    values: Any
    text: str

    def locate(self, problems: Iterable[Problem]) -> list[Problem]:
        """Return the problems with the line numbers of their fields filled in."""
        lines, _ = _scan_lines(self.text)
        return [
            problem
            if problem.line is not None
            else Problem(
                problem.place, problem.message, problem.remedy, lines.get(problem.place)
            )
            for problem in problems
        ]


def read_file(path: Path) -> str:
    """Return the text of a file; raises `DocumentError` when it cannot be read."""
    shown = printable(str(path))
    try:
        return path.read_text(encoding="utf-8-sig")
    except FileNotFoundError:
        problem = Problem("", f"{shown} does not exist", "check the path")
    except UnicodeDecodeError as error:
        message = f"{shown} is not UTF-8 text (byte {error.start})"
        problem = Problem("", message, "save it as UTF-8")
    except (OSError, ValueError) as error:  # ValueError: a path that cannot exist
        reason = error.strerror if isinstance(error, OSError) else error
        message = f"{shown} cannot be read: {reason}"
        problem = Problem("", message, "check the path and its permissions")
    raise DocumentError([problem])


def parse_document(text: str, *, comments: bool = True) -> Document:
    """Parse JSON; raises `DocumentError` with line and column.

    Plain JSON goes through the standard library first, because json5 is slow. Without
    `comments` nothing else is accepted. A key given twice is an error.
    """
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        raise _too_long(len(text), MAX_DOCUMENT_CHARACTERS)
    repeated = False

    def build(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
        nonlocal repeated
        pairs = list(pairs)
        values = dict(pairs)
        repeated = repeated or len(values) < len(pairs)
        return values

    document = Document(_parse_text(text, build, comments), text)
    if repeated:
        raise DocumentError(_scan_lines(text)[1])
    return document


def _too_long(length: int, limit: int) -> DocumentError:
    message = f"{length} characters are more than {limit}"
    return DocumentError([Problem("", message, "make the document shorter")])


def _parse_text(text: str, build: Callable[..., dict[str, Any]], comments: bool) -> Any:
    try:
        return _parse_either(text, build, comments)
    except RecursionError:
        message, line = "the values are nested too deeply", None
    except json.JSONDecodeError as error:
        message = f"not readable as JSON: {error.msg.lower()} at column {error.colno}"
        line = error.lineno
    except ValueError as error:
        message, line = _describe_syntax_error(str(error))
    remedy = "correct the JSON there"
    raise DocumentError([Problem("", message, remedy, line)]) from None


def _parse_either(
    text: str, build: Callable[..., dict[str, Any]], comments: bool
) -> Any:
    try:
        return json.loads(text, object_pairs_hook=build)
    except ValueError:
        if not comments:
            raise
    if len(text) > MAX_COMMENTED_CHARACTERS:
        raise _too_long(len(text), MAX_COMMENTED_CHARACTERS)
    return json5.loads(text, object_pairs_hook=build)


def _describe_syntax_error(error: str) -> tuple[str, int | None]:
    match = re.match(r"<string>:(\d+) (Unexpected .*) at column (\d+)", error, re.S)
    if "integer string conversion" in error:
        return "not readable as JSON: a number has thousands of digits", None
    if match is None:
        return f"not readable as JSON: {error}", None
    line, what, column = match.groups()
    return f"not readable as JSON: {what.lower()} at column {column}", int(line)


def _scan_lines(text: str) -> tuple[dict[str, int], list[Problem]]:
    """Return the line of each field, and the keys that are given twice.

    The text is known to be well formed. json5 keeps no positions, so this walks over
    the tokens a second time; it runs only when there are problems to report.
    """
    lines: dict[str, int] = {}
    repeated: list[Problem] = []
    for place, line in _walk_tokens(text):
        if place in lines:
            message = f"is given twice, first on line {lines[place]}"
            repeated.append(Problem(place, message, "remove one of them", line))
        lines.setdefault(place, line)
    return lines, repeated


def _walk_tokens(text: str) -> Iterator[tuple[str, int]]:
    stack: list[tuple[str, int | None]] = []  # place and next index of a list
    place, line, scanned = "", 1, 0
    previous = ""
    for match in _TOKEN.finditer(text):
        token = match.group()
        if token.startswith(("//", "/*")):
            continue
        line += text.count("\n", scanned, match.start())
        scanned = match.start()
        if token not in ":,]}" and stack and stack[-1][1] is not None:
            parent, index = stack[-1]
            stack[-1] = (parent, index + 1)
            place = f"{parent}[{index}]"
            yield place, line
        if token in "{[":
            stack.append((place, None if token == "{" else 0))
        elif token in "}]":
            stack.pop()
        elif token == ":":
            place = join_place(stack[-1][0], _decode_key(previous))
            yield place, line
        previous = token


def _decode_key(token: str) -> str:
    return json5.loads(token) if token[0] in "\"'" else token


def join_place(parent: str, key: str) -> str:
    """Return the path of a field of the object at `parent`."""
    shown = key if _PLAIN_KEY.match(key) else json.dumps(key)
    return f"{parent}.{shown}" if parent else shown


_CROSS_CHECKS: dict[type, CrossCheck] = {}
_STAND_INS: dict[type, type] = {}


def cross_check(struct: type) -> Callable[[CrossCheck], CrossCheck]:
    """Register a check that concerns several fields of a struct.

    The function gets the fields that have no problem of their own, by name, with
    defaults filled in; the places of its problems are relative to the struct.
    """

    def register(function: CrossCheck) -> CrossCheck:
        _CROSS_CHECKS[struct] = function
        return function

    return register


def check_as(struct: type, rules: type) -> None:
    """Check documents of type `struct` by the annotations of the struct `rules`.

    For types of other modules, whose own annotations carry no limits.
    """
    _STAND_INS[struct] = rules


def find_problems(struct: type, values: Any, place: str = "") -> list[Problem]:
    """Return all problems of a parsed document of the given struct type."""
    return list(_check(_type_info(struct), values, place, {}))


def convert(struct: type[T], document: Document) -> T:
    """Return the document as a struct; raises `DocumentError` with all problems."""
    problems = find_problems(struct, document.values)
    if problems:
        raise DocumentError(document.locate(problems))
    return msgspec.convert(document.values, struct)


@cache
def _type_info(kind: Any) -> inspect.Type:
    return inspect.type_info(kind)


@singledispatch
def _check(
    node: inspect.Type, value: Any, place: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    """Yield the problems of a value; this default handles types without parts."""
    wanted = extra.get("wanted") or _describe(node)
    remedy = extra.get("remedy") or f"give {wanted}"
    if not _fits(node, value):
        shown = "the value" if extra.get("secret") else show(value)
        yield Problem(place, f"{shown} is not {wanted}", remedy)
    elif (check := extra.get("check")) and (message := check(value)):
        yield Problem(place, message, remedy)


@_check.register
def _(
    node: inspect.Metadata, value: Any, place: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    return _check(node.type, value, place, {**extra, **(node.extra or {})})


@_check.register
def _(
    node: inspect.UnionType, value: Any, place: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    # Documents have no unions but "this type or null".
    if value is None and any(isinstance(t, inspect.NoneType) for t in node.types):
        return iter(())
    (other,) = (t for t in node.types if not isinstance(t, inspect.NoneType))
    return _check(other, value, place, extra)


@_check.register
def _(
    node: inspect.VarTupleType, value: Any, place: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    if not isinstance(value, list):
        yield Problem(place, f"{_json_type(value)} is not a list", "give a list, [ … ]")
        return
    least, most = node.min_length or 0, node.max_length
    if len(value) < least or (most is not None and len(value) > most):
        wanted = extra.get("wanted") or f"at least {least} entries"
        yield Problem(place, f"{len(value)} entries are given", f"give {wanted}")
    for index, item in enumerate(value):
        yield from _check(node.item_type, item, f"{place}[{index}]", {})


@_check.register
def _(
    node: inspect.DictType, value: Any, place: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield _not_an_object(value, place)
        return
    if len(value) < (node.min_length or 0):
        yield Problem(place, "is empty", f"give {extra.get('wanted', 'an entry')}")
    for key, item in value.items():
        inner = join_place(place, key)
        yield from _check(node.key_type, key, inner, {})
        yield from _check(node.value_type, item, inner, {})


@_check.register
def _(
    node: inspect.StructType, value: Any, place: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield _not_an_object(value, place)
        return
    rules = _type_info(_STAND_INS.get(node.cls, node.cls))
    parts: dict[str, Any] = {}
    for field in rules.fields:
        problems = list(_check_field(field, value, place))
        yield from problems
        if not problems:
            parts[field.name] = _part(field, value)
    known = {field.encode_name for field in rules.fields}
    for key in sorted(value.keys() - known):
        yield _unknown_key(key, place, known)
    for problem in _CROSS_CHECKS.get(node.cls, lambda _: ())(parts):
        dot = "." if place and problem.place else ""
        yield Problem(f"{place}{dot}{problem.place}", problem.message, problem.remedy)


def _check_field(
    field: inspect.Field, values: Mapping[str, Any], place: str
) -> Iterator[Problem]:
    inner = join_place(place, field.encode_name)
    value = values.get(field.encode_name, _MISSING)
    if value is not _MISSING:
        yield from _check(field.type, value, inner, {})
    elif field.required:
        yield Problem(inner, "is missing", f"add it: {_describe(field.type)}")


def _part(field: inspect.Field, values: Mapping[str, Any]) -> Any:
    if field.encode_name not in values:
        if field.default_factory is not inspect.NODEFAULT:
            return field.default_factory()
        return field.default
    return msgspec.convert(values[field.encode_name], _python_type(field.type))


@singledispatch
def _python_type(node: inspect.Type) -> Any:
    """Return the type to convert a checked value to; scalars stay as they are."""
    return Any


@_python_type.register
def _(node: inspect.Metadata) -> Any:
    return _python_type(node.type)


@_python_type.register
def _(node: inspect.StructType | inspect.EnumType) -> Any:
    return node.cls


@_python_type.register
def _(node: inspect.VarTupleType) -> Any:
    return tuple[_python_type(node.item_type), ...]


@_python_type.register
def _(node: inspect.DictType) -> Any:
    return dict[str, _python_type(node.value_type)]


@_python_type.register
def _(node: inspect.UnionType) -> Any:
    (other,) = (t for t in node.types if not isinstance(t, inspect.NoneType))
    return _python_type(other) | None


def _not_an_object(value: Any, place: str) -> Problem:
    message = f"{_json_type(value)} is not an object"
    return Problem(place, message, "give an object, { … }")


def _unknown_key(key: str, place: str, known: set[str]) -> Problem:
    close = get_close_matches(key, known, n=1)
    hint = (
        f"did you mean {close[0]}?" if close else f"known: {', '.join(sorted(known))}"
    )
    message = "is not a known key"
    return Problem(join_place(place, key), message, f"remove or rename it; {hint}")


@singledispatch
def _fits(node: inspect.Type, value: Any) -> bool:
    """Say whether a value without parts has the right type and is within limits."""
    raise TypeError(f"documents have no {type(node).__name__}")


@_fits.register
def _(node: inspect.BoolType, value: Any) -> bool:
    return isinstance(value, bool)


@_fits.register
def _(node: inspect.IntType, value: Any) -> bool:
    return type(value) is int and _within(node, value)


@_fits.register
def _(node: inspect.FloatType, value: Any) -> bool:
    # JSON with comments can spell NaN and Infinity; neither is ever meant.
    number = type(value) in (int, float)
    return number and math.isfinite(value) and _within(node, value)


@_fits.register
def _(node: inspect.StrType, value: Any) -> bool:
    return (
        isinstance(value, str)
        and len(value) >= (node.min_length or 0)
        and (node.max_length is None or len(value) <= node.max_length)
        and (node.pattern is None or re.search(node.pattern, value) is not None)
    )


@_fits.register
def _(node: inspect.EnumType, value: Any) -> bool:
    return value in [member.value for member in node.cls]


def _within(node: inspect.IntType | inspect.FloatType, value: float) -> bool:
    return (
        (node.ge is None or value >= node.ge)
        and (node.gt is None or value > node.gt)
        and (node.le is None or value <= node.le)
        and (node.lt is None or value < node.lt)
    )


@singledispatch
def _describe(node: inspect.Type) -> str:
    """Describe a good value of a type, for messages."""
    return "a value"


@_describe.register
def _(node: inspect.Metadata) -> str:
    return (node.extra or {}).get("wanted") or _describe(node.type)


@_describe.register
def _(node: inspect.BoolType) -> str:
    return "true or false"


@_describe.register
def _(node: inspect.StrType) -> str:
    return "a string"


@_describe.register
def _(node: inspect.VarTupleType) -> str:
    return "a list"


@_describe.register
def _(node: inspect.StructType | inspect.DictType) -> str:
    return "an object"


@_describe.register
def _(node: inspect.EnumType) -> str:
    return "one of " + ", ".join(str(member.value) for member in node.cls)


@_describe.register
def _(node: inspect.IntType | inspect.FloatType) -> str:
    kind = "a whole number" if isinstance(node, inspect.IntType) else "a number"
    parts = [kind]
    if node.ge is not None:
        parts.append(f"from {node.ge:,}")
    if node.gt is not None:
        parts.append(f"above {node.gt:,}")
    if node.le is not None:
        parts.append(f"up to {node.le:,}")
    return " ".join(parts)


def printable(text: str) -> str:
    """Return a text for messages, escaped if it holds control characters."""
    return text if text.isprintable() else ascii(text)


def show(value: Any) -> str:
    """Return a value as shortened JSON for messages; an object or list as its type."""
    if isinstance(value, (dict, list)):
        return _json_type(value)
    try:
        text = json.dumps(value)
    except ValueError:  # An int of thousands of digits has no decimal text.
        return _json_type(value)
    return text if len(text) <= _MAX_SHOWN else f"{text[:_MAX_SHOWN]}…"


def _json_type(value: Any) -> str:
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    return names.get(type(value), "null" if value is None else "a number")


def hide_fields(struct: msgspec.Struct, *secret: str) -> Iterator[tuple[str, Any]]:
    """Yield the fields of a struct for its repr, with the named ones hidden."""
    for name in struct.__struct_fields__:
        yield name, "<hidden>" if name in secret else getattr(struct, name)
