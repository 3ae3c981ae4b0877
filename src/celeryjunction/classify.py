"""Classification of SQL statements by their text alone.

`classify` assigns a statement a `StatementKind` before anything runs. A statement is a
read only if its text proves it: its keywords write nothing, it takes no locks, and
every function it calls is a built-in listed as free of side effects. Everything else is
a write. `split_statements` splits the text of a simple query into statements.

Tokens come from sqlglot's PostgreSQL tokenizer. Decisions are based on tokens rather
than on the parsed tree, because the tree renames functions and drops details. That the
text parses is an additional condition for a read.

Example: ``classify("SELECT 1").kind`` is `StatementKind.READ`, and
``classify("SELECT nextval('s')").kind`` is `StatementKind.WRITE`.

The text does not show volatile functions behind views, operators, casts, domains or
row security, nor a call written as a field, ``(row).function``. Reads should therefore
run in a read-only transaction wherever an endpoint would accept writes.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import ClassVar

from sqlglot import exp
from sqlglot.dialects import Postgres
from sqlglot.errors import ErrorLevel, SqlglotError
from sqlglot.tokens import Token, TokenType

from celeryjunction._sql_functions import (
    LOCK_FUNCTIONS,
    READ_FUNCTIONS,
    SESSION_FUNCTIONS,
    SYNTAX_WORDS,
    WRITE_FUNCTIONS,
)

CACHE_ENTRIES = 4096
CACHED_TEXT_LIMIT = 16 * 1024
"""Longest text, in characters, whose classification is cached."""

TOKENIZE_LIMIT = 8 * 1024
"""Longest text, in characters, that is tokenized.

Of a longer text only the first keyword counts. The tokenizer is pure Python and takes
1 to 3 µs per character, so a text of 1 MB would block the event loop for seconds.
"""

# sqlglot logs the text of statements it does not understand, but statement texts must
# not appear in the logs.
logging.getLogger("sqlglot").setLevel(logging.CRITICAL)


class StatementKind(Enum):
    """How a session treats a statement."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SET = "set"
    SHOW = "show"
    RESET = "reset"
    DISCARD = "discard"
    CONSTANT = "constant"
    EMPTY = "empty"
    UNSUPPORTED = "unsupported"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementInfo:
    """Result of `classify` for a statement.

    `read_only` tells whether BEGIN or SET TRANSACTION requests READ ONLY (True), READ
    WRITE (False) or neither (None). `feature` names what an UNSUPPORTED statement
    requires. `setting`, `value` and `local` belong to SET, SHOW and RESET; the name is
    in lower case, and a value of None means DEFAULT. SET TRANSACTION is a local SET of
    ``transaction``. The value of a DISCARD is its command tag. `needs_reset` is True
    if the connection may have changed session state afterwards. `locks` is True
    for row locks such as FOR UPDATE, for LOCK and TRUNCATE, and for advisory locks
    until the end of the transaction.
    `answer` holds the name and value of each column of a CONSTANT.
    """

    kind: StatementKind
    read_only: bool | None = None
    feature: str | None = None
    setting: str | None = None
    value: str | None = None
    local: bool = False
    needs_reset: bool = False
    is_ddl: bool = False
    locks: bool = False
    answer: tuple[tuple[str, str], ...] = ()


def classify(sql: str) -> StatementInfo:
    """Classify a statement. Never raises; a statement in doubt is a write.

    Results are cached by text: `CACHE_ENTRIES` of them, for texts up to
    `CACHED_TEXT_LIMIT`. Of a text longer than `TOKENIZE_LIMIT` only the first keyword
    counts.
    """
    if len(sql) <= CACHED_TEXT_LIMIT:
        return _classify_cached(sql)
    return _classify(sql)


def split_statements(sql: str) -> list[str]:
    """Split a simple query into its statements, each with its original text.

    Semicolons in strings, dollar quotes, quoted names and comments do not separate
    statements. Empty statements are left out, so a text without any statement gives an
    empty list. A text that cannot be tokenized, or is longer than `TOKENIZE_LIMIT`, is
    returned whole, since an endpoint refuses several statements in one text.
    """
    if ";" not in sql:
        return [sql] if _skip_comments(sql) < len(sql) else []
    if len(sql) > TOKENIZE_LIMIT:
        return [sql]
    tokens = _tokenize(sql)
    if tokens is None:
        return [sql]
    return [
        sql[part[0].start : part[-1].end + 1] for part in _group_into_statements(tokens)
    ]


class _StrictPostgres(Postgres):
    """sqlglot's PostgreSQL dialect, adapted to give the tokens of PostgreSQL's lexer.

    By default sqlglot reads the rest of some commands as one string. It also matches
    operators that end in ``-`` or ``/`` greedily, where PostgreSQL sees the start of a
    comment.
    """

    class Tokenizer(Postgres.Tokenizer):
        COMMANDS: ClassVar[set[TokenType]] = set()
        KEYWORDS: ClassVar[dict[str, TokenType]] = {
            word: kind
            for word, kind in Postgres.Tokenizer.KEYWORDS.items()
            if word not in ("#-", "-|-", "|/", "||/")
        }


_DIALECT = _StrictPostgres()
_TOKENIZER = _DIALECT.tokenizer()

_LITERALS = frozenset(
    {
        TokenType.STRING,
        TokenType.NUMBER,
        TokenType.BYTE_STRING,
        TokenType.BIT_STRING,
        TokenType.HEX_STRING,
        TokenType.HEREDOC_STRING,
        TokenType.NATIONAL_STRING,
        TokenType.RAW_STRING,
        TokenType.UNICODE_STRING,
    }
)

# sqlglot splits words at every Unicode space and control character, PostgreSQL only at
# the ASCII ones.
_SQLGLOT_ONLY_SPACE = re.compile(
    "[\x00-\x08\x0e-\x1f\x7f\x85\xa0\u1680\u2000-\u200a\u2028\u2029\u202f\u205f\u3000]"
)
_SPACE_OR_LINE_COMMENT = re.compile(r"(?:\s+|--[^\n\r]*)+")
_COMMENT_DELIMITER = re.compile(r"/\*|\*/")
_WORD = re.compile(r"[A-Za-z_]+")


def _skip_comments(sql: str, start: int = 0) -> int:
    """Return the offset of the first character outside white space and comments."""
    position = start
    while True:
        if match := _SPACE_OR_LINE_COMMENT.match(sql, position):
            position = match.end()
        if not sql.startswith("/*", position):
            return position
        depth = 0
        for delimiter in _COMMENT_DELIMITER.finditer(sql, position):
            depth += 1 if delimiter.group() == "/*" else -1
            if depth == 0:
                position = delimiter.end()
                break
        else:
            return len(sql)


_PARAMETER = re.compile(r"\$(?=\d)")


def _tokenize(sql: str) -> list[Token] | None:
    """Return the tokens, or None if PostgreSQL's own tokens may differ."""
    if not sql.isascii() and _SQLGLOT_ONLY_SPACE.search(sql):
        return None
    # sqlglot takes the "$1,$" of "$1,$2" for the start of a dollar quote, which could
    # hide a call. "@" has the same length and also marks a parameter in sqlglot.
    sql = _PARAMETER.sub("@", sql)
    try:
        tokens = _TOKENIZER.tokenize(sql)
    except (SqlglotError, RecursionError):
        return None
    # sqlglot miscounts the depth of some nested comments.
    if "/*" in sql and any("/*" in text for t in tokens for text in t.comments):
        return None
    # PostgreSQL interprets backslash escapes also in the continuation of an E'' string.
    for index, token in enumerate(tokens[:-1]):
        if (
            token.token_type is TokenType.BYTE_STRING
            and tokens[index + 1].token_type in _LITERALS
        ):
            return None
    return tokens


def _group_into_statements(tokens: Sequence[Token]) -> list[list[Token]]:
    """Group tokens into statements, leaving out empty ones."""
    parts: list[list[Token]] = [[]]
    for token in tokens:
        if token.token_type is TokenType.SEMICOLON:
            parts.append([])
        else:
            parts[-1].append(token)
    return [part for part in parts if part]


class _Statement:
    """The tokens of one statement with their keywords in upper case.

    `words` holds an empty string for literals and quoted names.
    """

    __slots__ = ("sql", "tokens", "words")

    def __init__(self, sql: str, tokens: Sequence[Token]) -> None:
        self.sql = sql
        self.tokens = tokens
        self.words = [
            ""
            if t.token_type in _LITERALS or t.token_type is TokenType.IDENTIFIER
            else t.text.upper()
            for t in tokens
        ]

    def word(self, index: int) -> str:
        """Return the keyword at an index, or an empty string out of range."""
        return self.words[index] if 0 <= index < len(self.words) else ""

    def has(self, *sequence: str) -> bool:
        """Return whether the keywords occur directly after one another."""
        words, size = self.words, len(sequence)
        return any(
            words[i] == sequence[0] and tuple(words[i : i + size]) == sequence
            for i in range(len(words) - size + 1)
        )

    def text(self, start: int, end: int | None = None) -> str:
        """Return the original text of a range of tokens."""
        part = self.tokens[start:end]
        return self.sql[part[0].start : part[-1].end + 1] if part else ""

    def tail(self, start: int) -> _Statement:
        """Return the part of the statement that starts at a token."""
        return _Statement(self.sql, self.tokens[start:])

    def closing(self, opening: int) -> int:
        """Return the index of the parenthesis that closes the one at `opening`.

        Without one, return the number of tokens.
        """
        depth = 0
        for index in range(opening, len(self.words)):
            if self.words[index] == "(":
                depth += 1
            elif self.words[index] == ")":
                depth -= 1
                if depth == 0:
                    return index
        return len(self.words)

    def opening(self, closing: int) -> int:
        """Return the index of the parenthesis closed by the one at `closing`.

        Without one, return -1.
        """
        depth = 0
        for index in range(closing, -1, -1):
            if self.words[index] == ")":
                depth += 1
            elif self.words[index] == "(":
                depth -= 1
                if depth == 0:
                    return index
        return -1


_UNSUPPORTED = StatementKind.UNSUPPORTED
_WRITE = StatementInfo(kind=StatementKind.WRITE)
_READ = StatementInfo(kind=StatementKind.READ)
_EMPTY = StatementInfo(kind=StatementKind.EMPTY)


def _unsupported(feature: str) -> StatementInfo:
    return StatementInfo(kind=_UNSUPPORTED, feature=feature)


@lru_cache(maxsize=CACHE_ENTRIES)
def _classify_cached(sql: str) -> StatementInfo:
    return _classify(sql)


# Statements that client libraries send on their own, and answers that hold on shared
# connections: no session lock is ever held, and `jit` is not changed for a session.
_CONSTANT_ANSWERS = {
    "select pg_advisory_unlock_all()": (("pg_advisory_unlock_all", ""),),
    "select current_setting('jit') as cur, set_config('jit', 'off', false) as new": (
        ("cur", "off"),
        ("new", "off"),
    ),
}


def _classify(sql: str) -> StatementInfo:
    start = _skip_comments(sql)
    if start:
        sql = sql[start:]
    if not sql:
        return _EMPTY
    answer = _CONSTANT_ANSWERS.get(" ".join(sql.rstrip("; \n").lower().split()))
    if answer is not None:
        return StatementInfo(kind=StatementKind.CONSTANT, answer=answer)
    tokens = _tokenize(sql) if len(sql) <= TOKENIZE_LIMIT else None
    if tokens is None:
        return _classify_first_word(sql)
    parts = _group_into_statements(tokens)
    if not parts:
        return _EMPTY
    if len(parts) > 1:
        return _unsupported("a text of several statements")
    return _classify_statement(_Statement(sql, parts[0]))


def _classify_statement(statement: _Statement) -> StatementInfo:
    handler = _HANDLERS.get(statement.word(0))
    return handler(statement) if handler else _classify_write(statement)


def _classify_first_word(sql: str) -> StatementInfo:
    """Classify a text that was not tokenized, as a write or as unsupported."""
    match = _WORD.match(sql)
    word = match.group().upper() if match else ""
    if word in _SESSION_STATEMENT_KEYWORDS:
        return _unsupported(_SESSION_STATEMENT_KEYWORDS[word])
    if word in _CONTROL_KEYWORDS:
        return _unsupported(f"{word} in this form")
    return StatementInfo(
        kind=StatementKind.WRITE, needs_reset=True, is_ddl=word in _DDL_KEYWORDS
    )


# Transaction control -----------------------------------------------------------------


def _requested_read_only(statement: _Statement) -> bool | None:
    """Return whether the last access mode is READ ONLY; None if there is none."""
    read_only = None
    for index, word in enumerate(statement.words):
        if word == "READ" and statement.word(index + 1) in ("ONLY", "WRITE"):
            read_only = statement.word(index + 1) == "ONLY"
    return read_only


def _classify_begin(statement: _Statement) -> StatementInfo:
    if statement.word(0) == "START" and statement.word(1) != "TRANSACTION":
        return _WRITE
    return StatementInfo(
        kind=StatementKind.BEGIN, read_only=_requested_read_only(statement)
    )


def _classify_end(statement: _Statement) -> StatementInfo:
    commits = statement.word(0) in ("COMMIT", "END")
    name = "COMMIT" if commits else "ROLLBACK"
    if statement.word(1) == "PREPARED":
        return _unsupported(f"{name} PREPARED")
    if statement.has("AND", "CHAIN"):
        return _unsupported(f"{name} AND CHAIN")
    if not commits and "TO" in statement.words:
        return StatementInfo(kind=StatementKind.SAVEPOINT)
    return StatementInfo(
        kind=StatementKind.COMMIT if commits else StatementKind.ROLLBACK
    )


def _classify_savepoint(statement: _Statement) -> StatementInfo:
    return StatementInfo(kind=StatementKind.SAVEPOINT)


# Settings ----------------------------------------------------------------------------

_SETTING_PHRASES = {
    ("TIME", "ZONE"): "timezone",
    ("NAMES",): "client_encoding",
    ("SCHEMA",): "search_path",
    ("XML", "OPTION"): "xmloption",
    ("TRANSACTION", "ISOLATION", "LEVEL"): "transaction_isolation",
    ("SESSION", "AUTHORIZATION"): "session_authorization",
}
_ROLE_SETTINGS = {
    "role": "ROLE",
    "session_authorization": "SESSION AUTHORIZATION",
}


def _setting_name(statement: _Statement, start: int) -> tuple[str, int]:
    """Return a setting's name in lower case and the index of the token after it."""
    for phrase, name in _SETTING_PHRASES.items():
        end = start + len(phrase)
        if tuple(statement.words[start:end]) == phrase:
            return name, end
    index = start
    name = ""
    while index < len(statement.tokens):
        name += statement.tokens[index].text
        index += 1
        if statement.word(index) != ".":
            break
        name += "."
        index += 1
    return name.lower(), index


def _setting_value(statement: _Statement, start: int) -> str | None:
    """Return the value that starts at a token, its items joined by a comma and a space.

    None stands for DEFAULT and LOCAL.
    """
    if statement.words[start:] in (["DEFAULT"], ["LOCAL"]):
        return None
    items: list[str] = []
    begin = start
    for index in range(start, len(statement.tokens) + 1):
        if index == len(statement.tokens) or statement.words[index] == ",":
            single = index - begin == 1
            token_text = statement.tokens[begin].text if single else ""
            items.append(token_text if single else statement.text(begin, index))
            begin = index + 1
    return ", ".join(items)


def _classify_set(statement: _Statement) -> StatementInfo:
    start = 1
    local = statement.word(1) == "LOCAL"
    if statement.words[1:3] == ["SESSION", "CHARACTERISTICS"]:
        return _unsupported("SET SESSION CHARACTERISTICS")
    if local or (
        statement.word(1) == "SESSION" and statement.word(2) != "AUTHORIZATION"
    ):
        start = 2
    if statement.word(start) == "TRANSACTION":
        return _classify_set_transaction(statement)
    if statement.word(start) == "CONSTRAINTS":
        return _WRITE
    name, index = _setting_name(statement, start)
    if name in _ROLE_SETTINGS:
        return _unsupported(f"SET {_ROLE_SETTINGS[name]}")
    if statement.word(index) in ("TO", "="):
        index += 1
    value = _setting_value(statement, index)
    read_only = None
    if name == "transaction_read_only" and value is not None:
        read_only = value.lower() in ("on", "true", "yes", "1", "t", "y")
    return StatementInfo(
        kind=StatementKind.SET,
        setting=name,
        value=value,
        local=local,
        read_only=read_only,
    )


def _classify_set_transaction(statement: _Statement) -> StatementInfo:
    if "SNAPSHOT" in statement.words:
        return _unsupported("SET TRANSACTION SNAPSHOT")
    index = statement.words.index("TRANSACTION") + 1
    return StatementInfo(
        kind=StatementKind.SET,
        setting="transaction",
        value=statement.text(index),
        local=True,
        read_only=_requested_read_only(statement),
    )


def _classify_show(statement: _Statement) -> StatementInfo:
    name, _ = _setting_name(statement, 1)
    return StatementInfo(kind=StatementKind.SHOW, setting=name)


def _classify_reset(statement: _Statement) -> StatementInfo:
    name, _ = _setting_name(statement, 1)
    if name in _ROLE_SETTINGS:
        return _unsupported(f"RESET {_ROLE_SETTINGS[name]}")
    return StatementInfo(kind=StatementKind.RESET, setting=name)


def _classify_discard(statement: _Statement) -> StatementInfo:
    target = statement.word(1)
    target = "TEMP" if target == "TEMPORARY" else target
    return StatementInfo(kind=StatementKind.DISCARD, value=f"DISCARD {target}")


# Statements that need one connection for the whole session ---------------------------

# CLOSE ALL, UNLISTEN * and DEALLOCATE ALL request the state that every connection is
# in anyway. Client pools send them when a connection returns to the pool.
_STATE_CLEARING_STATEMENTS = {
    ("CLOSE", "ALL"): "CLOSE CURSOR ALL",
    ("UNLISTEN", "*"): "UNLISTEN",
    ("DEALLOCATE", "ALL"): "DEALLOCATE ALL",
    ("DEALLOCATE", "PREPARE", "ALL"): "DEALLOCATE ALL",
}
_SESSION_STATEMENT_KEYWORDS = {
    "CLOSE": "CLOSE",
    "COPY": "COPY",
    "DEALLOCATE": "DEALLOCATE",
    "DECLARE": "DECLARE CURSOR",
    "EXECUTE": "EXECUTE",
    "FETCH": "FETCH",
    "LISTEN": "LISTEN",
    "LOAD": "LOAD",
    "MOVE": "MOVE",
    "PREPARE": "PREPARE",
    "UNLISTEN": "UNLISTEN",
}


def _classify_session_statement(statement: _Statement) -> StatementInfo:
    tag = _STATE_CLEARING_STATEMENTS.get(tuple(statement.words))
    if tag is not None:
        return StatementInfo(kind=StatementKind.DISCARD, value=tag)
    if statement.words[:2] == ["PREPARE", "TRANSACTION"]:
        return _unsupported("PREPARE TRANSACTION")
    return _unsupported(_SESSION_STATEMENT_KEYWORDS[statement.word(0)])


# Queries and data changes ------------------------------------------------------------

_MODIFYING_KEYWORDS = frozenset({"INSERT", "UPDATE", "DELETE", "MERGE", "INTO"})
_LOCK_STRENGTH_KEYWORDS = frozenset({"UPDATE", "SHARE", "NO", "KEY"})
_TEMPORARY_KEYWORDS = frozenset({"TEMP", "TEMPORARY"})


def _called_functions(statement: _Statement) -> list[tuple[int, str]]:
    """Return the token index and name of each function call.

    Names in schemas other than pg_catalog are qualified; unquoted names are in lower
    case. Table and column lists that look like calls are left out only where the
    grammar allows no call.
    """
    calls = []
    for index in range(1, len(statement.words)):
        if statement.words[index] != "(":
            continue
        name = _name_ending_at(statement, index - 1)
        if name and not _is_syntax_type_or_alias(statement, index - 1, name):
            calls.append((index - 1, name))
    return calls


def _name_ending_at(statement: _Statement, index: int) -> str:
    """Return the name that ends at a token, qualified if not in pg_catalog."""
    token = statement.tokens[index]
    if token.token_type is TokenType.IDENTIFIER:
        name = token.text
    elif token.token_type in _LITERALS or not (
        token.text[0].isalpha() or token.text[0] == "_"
    ):
        return ""
    else:
        name = token.text.lower() if token.text.isascii() else token.text
    if statement.word(index - 1) == "." and index >= 2:
        schema = statement.tokens[index - 2].text
        if statement.words[index - 2]:
            schema = schema.lower()
        if schema != "pg_catalog" and (schema, name) != (
            "information_schema",
            "_pg_expandarray",
        ):
            return f"{schema}.{name}"
    return name


def _is_syntax_type_or_alias(statement: _Statement, index: int, name: str) -> bool:
    """Return whether a name before a parenthesis is syntax, a type or an alias."""
    before = statement.word(index - 1)
    if before in ("AS", "WITH", "RECURSIVE", "::"):
        return True
    if before == ".":
        return _follows_insert_into(statement, index)
    quoted = statement.tokens[index].token_type is TokenType.IDENTIFIER
    if name in SYNTAX_WORDS and not quoted:
        return True
    if name in ("over", "filter") and not quoted:
        return before == ")"
    if name == "materialized":
        return before in ("AS", "NOT")
    if name in ("system", "bernoulli"):
        return before == "TABLESAMPLE"
    if name in ("conflict", "set"):
        return before == "ON" or "UPDATE" in statement.words
    if name == "operator":
        return statement.word(index + 2) == "PG_CATALOG"
    if before == ")":
        # An alias with a column list: a call follows a closing parenthesis only after
        # DISTINCT ON (...) and OPERATOR(...).
        opening = statement.opening(index - 1)
        return statement.word(opening - 1) not in ("ON", "OPERATOR")
    if before == ",":
        return _starts_common_table(statement, index)
    return before == "INTO" and _follows_insert_into(statement, index)


def _follows_insert_into(statement: _Statement, index: int) -> bool:
    """Return whether the name that ends at a token is the target of an INSERT."""
    while statement.word(index - 1) == ".":
        index -= 2
    return statement.words[max(index - 2, 0) : index] == ["INSERT", "INTO"]


def _starts_common_table(statement: _Statement, index: int) -> bool:
    """Return whether ``name (...)`` after a comma starts a common table expression."""
    after = statement.closing(index + 1) + 1
    if statement.word(after) != "AS":
        return False
    after += 1
    if statement.word(after) == "NOT":
        after += 1
    if statement.word(after) == "MATERIALIZED":
        after += 1
    first = statement.word(after + 1)
    return statement.word(after) == "(" and first in ("SELECT", "WITH", "TABLE", "(")


def _unsupported_feature(
    statement: _Statement, calls: Sequence[tuple[int, str]]
) -> str:
    """Return the unsupported feature that the statement uses, or an empty string."""
    for index, name in calls:
        plain = name.rpartition(".")[2]
        if plain in SESSION_FUNCTIONS:
            return f"{plain}()"
        if plain == "set_config":
            end = statement.closing(index + 1)
            if statement.words[end - 2 : end] != [",", "TRUE"]:
                return "set_config() for the session"
    if "pg_temp" in statement.sql.lower() and any(
        t.text.lower() == "pg_temp" and t.token_type not in _LITERALS
        for t in statement.tokens
    ):
        return "a temporary object"
    return ""


def _takes_row_locks(statement: _Statement) -> bool:
    return any(
        word == "FOR" and statement.word(index + 1) in _LOCK_STRENGTH_KEYWORDS
        for index, word in enumerate(statement.words)
    )


def _makes_temporary(statement: _Statement) -> bool:
    """Return whether a SELECT INTO creates a temporary table."""
    for index, word in enumerate(statement.words):
        if word == "INTO" and statement.word(index - 1) != "INSERT":
            scoped = statement.word(index + 1) in ("LOCAL", "GLOBAL")
            return statement.word(index + 1 + scoped) in _TEMPORARY_KEYWORDS
    return False


def _classify_query(statement: _Statement) -> StatementInfo:
    """Classify a query, which is a write if a part of it writes."""
    calls = _called_functions(statement)
    if feature := _unsupported_feature(statement, calls):
        return _unsupported(feature)
    if _makes_temporary(statement):
        return _unsupported("SELECT INTO TEMPORARY")
    names = {name for _, name in calls}
    unknown = names - READ_FUNCTIONS
    locks = _takes_row_locks(statement) or not LOCK_FUNCTIONS.isdisjoint(names)
    changes = not _MODIFYING_KEYWORDS.isdisjoint(statement.words)
    if unknown or locks or changes or not _parses(statement):
        return StatementInfo(
            kind=StatementKind.WRITE,
            needs_reset=bool(unknown - WRITE_FUNCTIONS),
            is_ddl="INTO" in statement.words
            and {"INSERT", "MERGE"}.isdisjoint(statement.words),
            locks=locks,
        )
    return _READ


def _classify_write(statement: _Statement) -> StatementInfo:
    """Classify a statement that its first keyword already makes a write."""
    calls = _called_functions(statement)
    if feature := _unsupported_feature(statement, calls):
        return _unsupported(feature)
    first = statement.word(0)
    is_ddl = first in _DDL_KEYWORDS
    unknown = {name for _, name in calls} - READ_FUNCTIONS - WRITE_FUNCTIONS
    # Definitions contain column and argument lists that look like calls; only their
    # queries can run a function.
    runs_functions = bool(unknown) and (not is_ddl or "SELECT" in statement.words)
    return StatementInfo(
        kind=StatementKind.WRITE,
        needs_reset=first not in _STATELESS_WRITE_KEYWORDS or runs_functions,
        is_ddl=is_ddl,
        locks=first in ("LOCK", "TRUNCATE"),
    )


def _classify_create(statement: _Statement) -> StatementInfo:
    index = 3 if statement.words[1:3] == ["OR", "REPLACE"] else 1
    if statement.word(index) in ("LOCAL", "GLOBAL"):
        index += 1
    if statement.word(index) in _TEMPORARY_KEYWORDS:
        recursive = statement.word(index + 1) == "RECURSIVE"
        return _unsupported(f"CREATE TEMPORARY {statement.word(index + 1 + recursive)}")
    return _classify_write(statement)


def _classify_explain(statement: _Statement) -> StatementInfo:
    """Classify EXPLAIN, which with ANALYZE runs the explained statement."""
    index, analyze = 1, False
    if statement.word(1) == "(":
        end = statement.closing(1)
        options = statement.words[2:end]
        for position, option in enumerate(options):
            if option in ("ANALYZE", "ANALYSE"):
                value = statement.text(position + 3, position + 4).strip("'").upper()
                analyze = value not in ("FALSE", "OFF", "0")
        index = end + 1
    else:
        while statement.word(index) in ("ANALYZE", "ANALYSE", "VERBOSE"):
            analyze = analyze or statement.word(index) != "VERBOSE"
            index += 1
    if not analyze:
        return _READ
    inner = _classify_statement(statement.tail(index))
    if inner.kind in (StatementKind.READ, StatementKind.WRITE, _UNSUPPORTED):
        return inner
    return _WRITE


# Whether a statement with these tokens parses as a query that changes nothing. Texts
# that differ only in their literals share a key, so a client that writes values into
# the text does not cause a parse for each of them.
_parses_by_shape: dict[str, bool] = {}


def _parses(statement: _Statement) -> bool:
    """Return whether sqlglot parses the statement as a query that changes nothing."""
    shape = "\x00".join(
        t.token_type.name if t.token_type in _LITERALS else t.text
        for t in statement.tokens
    )
    parses = _parses_by_shape.get(shape)
    if parses is None:
        if len(_parses_by_shape) >= CACHE_ENTRIES:
            del _parses_by_shape[next(iter(_parses_by_shape))]
        parses = _parses_by_shape[shape] = _parse_query(statement)
    return parses


def _parse_query(statement: _Statement) -> bool:
    try:
        parser = _DIALECT.parser(error_level=ErrorLevel.IMMEDIATE)
        trees = parser.parse(list(statement.tokens), statement.sql)
    except (SqlglotError, RecursionError):
        return False
    if len(trees) != 1 or not isinstance(trees[0], exp.Query | exp.Values):
        return False
    changing = (exp.DML, exp.DDL, exp.Command, exp.Into, exp.Lock)
    return not any(
        isinstance(node, changing) and not isinstance(node, exp.Query)
        for node in trees[0].walk()
    )


_DDL_KEYWORDS = frozenset(
    {
        "ALTER",
        "CLUSTER",
        "COMMENT",
        "CREATE",
        "DROP",
        "GRANT",
        "IMPORT",
        "REASSIGN",
        "REFRESH",
        "REINDEX",
        "REVOKE",
        "SECURITY",
        "TRUNCATE",
    }
)
# Writes that leave no session state unless they call a function. CALL, DO and unknown
# statements are not among them.
_STATELESS_WRITE_KEYWORDS = _DDL_KEYWORDS | {
    "ANALYZE",
    "CHECKPOINT",
    "DELETE",
    "INSERT",
    "LOCK",
    "MERGE",
    "NOTIFY",
    "UPDATE",
    "VACUUM",
}
_CONTROL_KEYWORDS = frozenset(
    {"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE"}
    | {"SET", "SHOW", "RESET", "DISCARD"}
)

_HANDLERS: dict[str, Callable[[_Statement], StatementInfo]] = {
    "BEGIN": _classify_begin,
    "START": _classify_begin,
    "COMMIT": _classify_end,
    "END": _classify_end,
    "ROLLBACK": _classify_end,
    "ABORT": _classify_end,
    "SAVEPOINT": _classify_savepoint,
    "RELEASE": _classify_savepoint,
    "SET": _classify_set,
    "SHOW": _classify_show,
    "RESET": _classify_reset,
    "DISCARD": _classify_discard,
    "SELECT": _classify_query,
    "VALUES": _classify_query,
    "TABLE": _classify_query,
    "WITH": _classify_query,
    "(": _classify_query,
    "EXPLAIN": _classify_explain,
    "CREATE": _classify_create,
    **dict.fromkeys(_SESSION_STATEMENT_KEYWORDS, _classify_session_statement),
}
