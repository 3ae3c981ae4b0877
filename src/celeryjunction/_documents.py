"""Parsing and validation of documents that operators write.

Settings and contracts are JSON with comments. A document is checked field by field
against a msgspec struct, so that one run reports all its problems. Constraints are
declared in the struct's annotations as `msgspec.Meta`. Four keys of its ``extra``
refine them: ``wanted`` describes a valid value, ``remedy`` replaces the advice that is
derived from ``wanted``, ``check`` is a function that returns what is wrong with a value
(or None), and ``secret`` keeps the value out of every message.
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
"""The key-value service stores values of up to 1 MB, so no document can be longer."""
MAX_COMMENTED_CHARACTERS = 100_000
"""Limit for JSON with comments: json5 needs about 60 µs for each character, which is
6 s for a document of this length."""

_MAX_SHOWN_CHARACTERS = 80
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

    `field_path` names the field, for example ``listen.port`` or ``work.counter.rank``;
    it is empty for the document as a whole. `line` counts from 1 and is None if the
    field does not appear in the text.
    """

    field_path: str
    message: str
    remedy: str
    line: int | None = None

    def __str__(self) -> str:
        where = self.field_path or "document"
        if self.line is not None:
            where = f"{where} (line {self.line})"
        return f"{where}: {self.message}; {self.remedy}"


class DocumentError(Exception):
    """A document is invalid; `problems` lists everything that is wrong with it."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self._problems = tuple(problems)
        super().__init__("\n".join(map(str, self._problems)))

    @property
    def problems(self) -> tuple[Problem, ...]:
        """The problems, in the order of the fields."""
        return self._problems


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed document: its values and its text."""

    values: Any
    text: str

    def locate(self, problems: Iterable[Problem]) -> list[Problem]:
        """Return the problems, with the line numbers of their fields filled in."""
        lines, _ = _scan_lines(self.text)
        return [
            problem
            if problem.line is not None
            else Problem(
                problem.field_path,
                problem.message,
                problem.remedy,
                lines.get(problem.field_path),
            )
            for problem in problems
        ]


def read_file(path: Path) -> str:
    """Return the text of a file; raises `DocumentError` if it cannot be read."""
    shown = printable(str(path))
    try:
        return path.read_text(encoding="utf-8-sig")
    except FileNotFoundError:
        problem = Problem("", f"{shown} does not exist", "check the path")
    except UnicodeDecodeError as error:
        message = f"{shown} is not UTF-8 text (byte {error.start})"
        problem = Problem("", message, "save it as UTF-8")
    except (OSError, ValueError) as error:  # ValueError: an invalid path
        reason = error.strerror if isinstance(error, OSError) else error
        message = f"{shown} cannot be read: {reason}"
        problem = Problem("", message, "check the path and its permissions")
    raise DocumentError([problem])


def parse_document(text: str, *, comments: bool = True) -> Document:
    """Parse JSON; raises `DocumentError` with line and column.

    The standard library is tried first, because json5 is slow. With `comments`, text
    that is not plain JSON is then parsed by json5. A duplicate key is an error.
    """
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        raise _too_long_error(len(text), MAX_DOCUMENT_CHARACTERS)
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


def _too_long_error(length: int, limit: int) -> DocumentError:
    message = f"{length} characters are more than {limit}"
    return DocumentError([Problem("", message, "make the document shorter")])


def _parse_text(text: str, build: Callable[..., dict[str, Any]], comments: bool) -> Any:
    try:
        return _parse_json(text, build, comments)
    except RecursionError:
        message, line = "the values are nested too deeply", None
    except json.JSONDecodeError as error:
        message = f"not readable as JSON: {error.msg.lower()} at column {error.colno}"
        line = error.lineno
    except ValueError as error:
        message, line = _describe_syntax_error(str(error))
    remedy = "correct the JSON there"
    raise DocumentError([Problem("", message, remedy, line)]) from None


def _parse_json(text: str, build: Callable[..., dict[str, Any]], comments: bool) -> Any:
    try:
        return json.loads(text, object_pairs_hook=build)
    except ValueError:
        if not comments:
            raise
    if len(text) > MAX_COMMENTED_CHARACTERS:
        raise _too_long_error(len(text), MAX_COMMENTED_CHARACTERS)
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
    """Return the line of each field, and a problem for each duplicate key.

    The text must be well formed. json5 reports no positions, so the text is tokenized
    a second time; this happens only if there are problems to report.
    """
    lines: dict[str, int] = {}
    repeated: list[Problem] = []
    for field_path, line in _field_lines(text):
        if field_path in lines:
            message = f"is given twice, first on line {lines[field_path]}"
            repeated.append(Problem(field_path, message, "remove one of them", line))
        lines.setdefault(field_path, line)
    return lines, repeated


def _field_lines(text: str) -> Iterator[tuple[str, int]]:
    """Yield the path and line of each field and list item."""
    # Open objects and lists: the field path and, for a list, the next index.
    stack: list[tuple[str, int | None]] = []
    field_path, line, scanned = "", 1, 0
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
            field_path = f"{parent}[{index}]"
            yield field_path, line
        if token in "{[":
            stack.append((field_path, None if token == "{" else 0))
        elif token in "}]":
            stack.pop()
        elif token == ":":
            field_path = join_field_path(stack[-1][0], _decode_key(previous))
            yield field_path, line
        previous = token


def _decode_key(token: str) -> str:
    return json5.loads(token) if token[0] in "\"'" else token


def join_field_path(parent: str, key: str) -> str:
    """Return the path of field `key` of the object at path `parent`."""
    shown = key if _PLAIN_KEY.match(key) else json.dumps(key)
    return f"{parent}.{shown}" if parent else shown


_CROSS_CHECKS: dict[type, CrossCheck] = {}
_RULES: dict[type, type] = {}


def cross_check(struct: type) -> Callable[[CrossCheck], CrossCheck]:
    """Register a check that involves several fields of a struct.

    The function receives the values of the valid fields by name, with defaults filled
    in. The field paths of the problems that it yields are relative to the struct.
    """

    def register(function: CrossCheck) -> CrossCheck:
        _CROSS_CHECKS[struct] = function
        return function

    return register


def register_rules(struct: type, rules: type) -> None:
    """Check documents of type `struct` by the annotations of the struct `rules`.

    This serves types of other modules, whose own annotations have no constraints.
    """
    _RULES[struct] = rules


def find_problems(struct: type, values: Any, field_path: str = "") -> list[Problem]:
    """Return all problems of parsed values as a document of type `struct`."""
    return list(_check(_type_info(struct), values, field_path, {}))


def convert(struct: type[T], document: Document) -> T:
    """Convert a document to a struct; raises `DocumentError` with all problems."""
    problems = find_problems(struct, document.values)
    if problems:
        raise DocumentError(document.locate(problems))
    return msgspec.convert(document.values, struct)


@cache
def _type_info(kind: Any) -> inspect.Type:
    return inspect.type_info(kind)


@singledispatch
def _check(
    node: inspect.Type, value: Any, field_path: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    """Yield the problems of a value; this default handles scalar types."""
    wanted = extra.get("wanted") or _describe(node)
    remedy = extra.get("remedy") or f"give {wanted}"
    if not _is_valid(node, value):
        shown = "the value" if extra.get("secret") else format_value(value)
        yield Problem(field_path, f"{shown} is not {wanted}", remedy)
    elif (check := extra.get("check")) and (message := check(value)):
        yield Problem(field_path, message, remedy)


@_check.register
def _(
    node: inspect.Metadata, value: Any, field_path: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    return _check(node.type, value, field_path, {**extra, **(node.extra or {})})


@_check.register
def _(
    node: inspect.UnionType, value: Any, field_path: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    # The only unions in documents are "this type or null".
    if value is None and any(isinstance(t, inspect.NoneType) for t in node.types):
        return iter(())
    (other,) = (t for t in node.types if not isinstance(t, inspect.NoneType))
    return _check(other, value, field_path, extra)


@_check.register
def _(
    node: inspect.VarTupleType, value: Any, field_path: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    if not isinstance(value, list):
        yield Problem(
            field_path, f"{_json_type(value)} is not a list", "give a list, [ … ]"
        )
        return
    least, most = node.min_length or 0, node.max_length
    if len(value) < least or (most is not None and len(value) > most):
        wanted = extra.get("wanted") or f"at least {least} entries"
        yield Problem(field_path, f"{len(value)} entries are given", f"give {wanted}")
    for index, item in enumerate(value):
        yield from _check(node.item_type, item, f"{field_path}[{index}]", {})


@_check.register
def _(
    node: inspect.DictType, value: Any, field_path: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield _not_an_object(value, field_path)
        return
    if len(value) < (node.min_length or 0):
        yield Problem(field_path, "is empty", f"give {extra.get('wanted', 'an entry')}")
    for key, item in value.items():
        inner = join_field_path(field_path, key)
        yield from _check(node.key_type, key, inner, {})
        yield from _check(node.value_type, item, inner, {})


@_check.register
def _(
    node: inspect.StructType, value: Any, field_path: str, extra: Mapping[str, Any]
) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield _not_an_object(value, field_path)
        return
    rules = _type_info(_RULES.get(node.cls, node.cls))
    valid_fields: dict[str, Any] = {}
    for field in rules.fields:
        problems = list(_check_field(field, value, field_path))
        yield from problems
        if not problems:
            valid_fields[field.name] = _convert_field(field, value)
    known = {field.encode_name for field in rules.fields}
    for key in sorted(value.keys() - known):
        yield _unknown_key(key, field_path, known)
    for problem in _CROSS_CHECKS.get(node.cls, lambda _: ())(valid_fields):
        dot = "." if field_path and problem.field_path else ""
        yield Problem(
            f"{field_path}{dot}{problem.field_path}", problem.message, problem.remedy
        )


def _check_field(
    field: inspect.Field, values: Mapping[str, Any], field_path: str
) -> Iterator[Problem]:
    inner = join_field_path(field_path, field.encode_name)
    value = values.get(field.encode_name, _MISSING)
    if value is not _MISSING:
        yield from _check(field.type, value, inner, {})
    elif field.required:
        yield Problem(inner, "is missing", f"add it: {_describe(field.type)}")


def _convert_field(field: inspect.Field, values: Mapping[str, Any]) -> Any:
    if field.encode_name not in values:
        if field.default_factory is not inspect.NODEFAULT:
            return field.default_factory()
        return field.default
    return msgspec.convert(values[field.encode_name], _target_type(field.type))


@singledispatch
def _target_type(node: inspect.Type) -> Any:
    """Return the type to which a valid value is converted; scalars stay unchanged."""
    return Any


@_target_type.register
def _(node: inspect.Metadata) -> Any:
    return _target_type(node.type)


@_target_type.register
def _(node: inspect.StructType | inspect.EnumType) -> Any:
    return node.cls


@_target_type.register
def _(node: inspect.VarTupleType) -> Any:
    return tuple[_target_type(node.item_type), ...]


@_target_type.register
def _(node: inspect.DictType) -> Any:
    return dict[str, _target_type(node.value_type)]


@_target_type.register
def _(node: inspect.UnionType) -> Any:
    (other,) = (t for t in node.types if not isinstance(t, inspect.NoneType))
    return _target_type(other) | None


def _not_an_object(value: Any, field_path: str) -> Problem:
    message = f"{_json_type(value)} is not an object"
    return Problem(field_path, message, "give an object, { … }")


def _unknown_key(key: str, field_path: str, known: set[str]) -> Problem:
    close = get_close_matches(key, known, n=1)
    hint = (
        f"did you mean {close[0]}?" if close else f"known: {', '.join(sorted(known))}"
    )
    message = "is not a known key"
    return Problem(
        join_field_path(field_path, key), message, f"remove or rename it; {hint}"
    )


@singledispatch
def _is_valid(node: inspect.Type, value: Any) -> bool:
    """Return whether a scalar has the right type and satisfies its constraints."""
    raise TypeError(f"documents have no {type(node).__name__}")


@_is_valid.register
def _(node: inspect.BoolType, value: Any) -> bool:
    return isinstance(value, bool)


@_is_valid.register
def _(node: inspect.IntType, value: Any) -> bool:
    return type(value) is int and _is_in_range(node, value)


@_is_valid.register
def _(node: inspect.FloatType, value: Any) -> bool:
    # JSON5 accepts NaN and Infinity, which are never valid settings.
    number = type(value) in (int, float)
    return number and math.isfinite(value) and _is_in_range(node, value)


@_is_valid.register
def _(node: inspect.StrType, value: Any) -> bool:
    return (
        isinstance(value, str)
        and len(value) >= (node.min_length or 0)
        and (node.max_length is None or len(value) <= node.max_length)
        and (node.pattern is None or re.search(node.pattern, value) is not None)
    )


@_is_valid.register
def _(node: inspect.EnumType, value: Any) -> bool:
    return value in [member.value for member in node.cls]


def _is_in_range(node: inspect.IntType | inspect.FloatType, value: float) -> bool:
    return (
        (node.ge is None or value >= node.ge)
        and (node.gt is None or value > node.gt)
        and (node.le is None or value <= node.le)
        and (node.lt is None or value < node.lt)
    )


@singledispatch
def _describe(node: inspect.Type) -> str:
    """Describe a valid value of a type, for messages."""
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
    limits = [kind]
    if node.ge is not None:
        limits.append(f"from {node.ge:,}")
    if node.gt is not None:
        limits.append(f"above {node.gt:,}")
    if node.le is not None:
        limits.append(f"up to {node.le:,}")
    return " ".join(limits)


def printable(text: str) -> str:
    """Return a text for messages, escaped if it has unprintable characters."""
    return text if text.isprintable() else ascii(text)


def format_value(value: Any) -> str:
    """Format a value for messages: an object or list as its type, others as JSON.

    Long JSON is truncated.
    """
    if isinstance(value, (dict, list)):
        return _json_type(value)
    try:
        text = json.dumps(value)
    except ValueError:  # Python refuses to format integers of thousands of digits.
        return _json_type(value)
    return (
        text
        if len(text) <= _MAX_SHOWN_CHARACTERS
        else f"{text[:_MAX_SHOWN_CHARACTERS]}…"
    )


def _json_type(value: Any) -> str:
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    return names.get(type(value), "null" if value is None else "a number")


def hide_fields(struct: msgspec.Struct, *secret: str) -> Iterator[tuple[str, Any]]:
    """Yield the fields of a struct for its repr, hiding the values of `secret`."""
    for name in struct.__struct_fields__:
        yield name, "<hidden>" if name in secret else getattr(struct, name)
