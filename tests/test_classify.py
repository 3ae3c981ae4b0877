"""Tests of statement classification and of splitting simple queries."""

from __future__ import annotations

import random

import pytest

from celeryjunction.classify import (
    TOKENIZE_LIMIT,
    StatementKind,
    classify,
    split_statements,
)


def kind(sql: str) -> StatementKind:
    return classify(sql).kind


READS = [
    "select 1;",
    "/* a /* nested */ */ -- line\n SELECT $1::int",
    "table stock",
    "values (1), (2)",
    "with a(x) as (select 1), b(y) as materialized (select 2) select * from a, b",
    "select count(*) filter (where x) over (partition by y) from t where id in (1, 2)",
    "select coalesce(x, 1), x::numeric(10, 2), extract(year from d) from s.t as t(a, b)"
    " join (values (1, 2)) v(d, e) on (a = d)",
    "select distinct on (a) lower(b) from t, unnest($1::int[]) u(i)",
    "select pg_catalog.version(), current_setting('x'), pg_is_in_recovery()",
    "select percentile_cont(0.5) within group (order by x) from t group by cube (a)",
    "explain delete from t",
    "explain (analyze off) delete from t",
    "explain analyze select 1",
]
WRITES = [
    "insert into t (a, b) values (1, 2) on conflict (a) do update set b = 1",
    "select 1 for no key update",
    "select * into t from u",
    "with a as (delete from t returning *) select * from a",
    "select nextval('s')",
    "select \"nextval\"('s')",
    "select shop.lower('a')",
    "select \"Lower\"('a')",
    "select distinct on (a) change_price(b) from t",
    "select a, change_price(x) as (y int) from t",
    "explain (analyze, buffers) delete from t",
    "select setseed(0.5)",
    "select set_config('a.b', 'c', true)",
    "select pg_advisory_xact_lock(1)",
    "notify a, 'b'",
    "lock table t",
    "not sql at all",
    "select from where )(",
]
# Texts in which a simpler parser of comments and quotes misses the call of nextval, or
# takes a name with non-ASCII characters for a built-in function.
DISGUISED = [
    "select 'a' ||/* ' */ nextval('s') /* ' */",
    "select E'a'\n'\\', ' , nextval('s') --'",
    "select 1 /* /* */*/ + nextval('x') -- */ */",
    "select 1 /*/* */ ' */ , '*/, nextval('s') --'",
    "select $é$ ' $é$ , nextval('s')",
    "select lower\u00a0('x')",
    "select \u212aind, \u212aower('x'), ran\u212a()",
]
UNSUPPORTED = {
    "/* x */ copy t from stdin": "COPY",
    "listen a": "LISTEN",
    "declare c cursor for select 1": "DECLARE CURSOR",
    "fetch 1 from c": "FETCH",
    "prepare p as select 1": "PREPARE",
    "prepare transaction 'x'": "PREPARE TRANSACTION",
    "commit prepared 'x'": "COMMIT PREPARED",
    "commit and chain": "COMMIT AND CHAIN",
    "create local temporary table x (a int)": "CREATE TEMPORARY TABLE",
    "create table pg_temp.x (a int)": "a temporary object",
    "select 1 into temp t": "SELECT INTO TEMPORARY",
    "select pg_catalog.pg_try_advisory_lock(1)": "pg_try_advisory_lock()",
    "insert into t values (currval('s'))": "currval()",
    "select set_config('a', 'b', $1)": "set_config() for the session",
    "load 'x'": "LOAD",
    "set local role x": "SET ROLE",
    "set session authorization x": "SET SESSION AUTHORIZATION",
    "set session characteristics as transaction read only": (
        "SET SESSION CHARACTERISTICS"
    ),
    "select 1; select 2": "a text of several statements",
}


class TestReadsAndWrites:
    @pytest.mark.parametrize("sql", READS)
    def test_proven_reads(self, sql: str) -> None:
        # Guards against sending common reads to the primary.
        assert kind(sql) is StatementKind.READ

    @pytest.mark.parametrize("sql", WRITES + DISGUISED)
    def test_statements_in_doubt_are_writes(self, sql: str) -> None:
        # Guards against routing and acknowledging a change as a read.
        assert kind(sql) is StatementKind.WRITE

    def test_reset_ddl_and_lock_flags(self) -> None:
        # Guards against reusing a connection whose session state may have changed.
        assert classify("do $$ begin; end $$").needs_reset
        assert classify("call p()").needs_reset
        assert classify("select change_price(1)").needs_reset
        assert not classify(WRITES[0]).needs_reset
        assert classify("create table t (id int primary key)").is_ddl
        assert classify("select 1 for share").locks

    def test_long_text_is_a_write(self) -> None:
        # Guards against blocking the event loop in the tokenizer for seconds.
        info = classify("select 1 " + " " * TOKENIZE_LIMIT)
        assert info.kind is StatementKind.WRITE and info.needs_reset

    def test_random_texts_raise_nothing(self) -> None:
        # Guards against IndexError on unusual token sequences.
        words = "select with as ( ) , ; explain analyze set time zone = 'x' $$a$$ \"q\""
        words += " . :: materialized f( insert into temp E'\\'' set_config( true \n /*"
        chooser = random.Random(7)
        for _ in range(500):
            sql = " ".join(chooser.choices(words.split(" "), k=12))
            classify(sql)
            split_statements(sql)


class TestControl:
    @pytest.mark.parametrize(("sql", "feature"), UNSUPPORTED.items())
    def test_unsupported(self, sql: str, feature: str) -> None:
        # Guards against session state on a connection that clients share.
        info = classify(sql)
        assert (info.kind, info.feature) == (StatementKind.UNSUPPORTED, feature)

    def test_transactions(self) -> None:
        assert classify("begin isolation level serializable, read only").read_only
        assert classify("START TRANSACTION READ WRITE").read_only is False
        assert classify("begin").read_only is None
        assert kind("end") is StatementKind.COMMIT
        assert kind("abort and no chain") is StatementKind.ROLLBACK
        for sql in ("savepoint a", "release a", "rollback work to savepoint a"):
            assert kind(sql) is StatementKind.SAVEPOINT

    def test_settings(self) -> None:
        # Guards against storing a setting under a wrong name or value.
        info = classify("set local statement_timeout = '5s'")
        assert (info.setting, info.value, info.local) == (
            "statement_timeout",
            "5s",
            True,
        )
        info = classify("SET SESSION celeryjunction.Repeatable TO on")
        assert (info.setting, info.value) == ("celeryjunction.repeatable", "on")
        assert classify("set search_path to a, \"B\", 'c'").value == "a, B, c"
        assert classify("set time zone default").setting == "timezone"
        assert classify("set time zone default").value is None
        info = classify("set transaction read only")
        assert (info.kind, info.local, info.read_only) == (
            StatementKind.SET,
            True,
            True,
        )
        assert classify("show transaction isolation level").setting == (
            "transaction_isolation"
        )
        assert classify("reset all").setting == "all"

    def test_statements_of_client_pools(self) -> None:
        # Guards against refusing the statements that asyncpg's pool sends on release.
        for sql in ("close all", "unlisten *", "deallocate all", "discard all"):
            assert kind(sql) is StatementKind.DISCARD

    def test_parameters_without_spaces(self) -> None:
        # Guards against sqlglot reading "$1,$" as a dollar quote, which classified
        # reads as writes and could hide a call between two such quotes.
        assert kind("SELECT a FROM t WHERE a IN ($1,$2)") is StatementKind.READ
        hidden = "SELECT abs($1,$2), nextval('s'), abs($1,$3)"
        assert kind(hidden) is StatementKind.WRITE
        assert split_statements("SELECT $1,$2; SELECT $1,$2") == ["SELECT $1,$2"] * 2

    def test_library_queries_are_answered_without_an_endpoint(self) -> None:
        # Guards against failing resets in client pools, and against asyncpg failing on
        # every array type, which it looks up after switching jit off.
        assert kind("select pg_advisory_unlock_all();") is StatementKind.CONSTANT
        jit = """
            SELECT current_setting('jit') AS cur,
                set_config('jit', 'off', false) AS new
        """
        assert classify(jit).answer == (("cur", "off"), ("new", "off"))
        other = "SELECT set_config('jit', 'on', false)"
        assert kind(other) is StatementKind.UNSUPPORTED
        assert kind(" ; -- nothing") is StatementKind.EMPTY


class TestSplit:
    def test_keeps_the_original_text(self) -> None:
        parts = ["select 'a;''b', \"c;\"", "do $x$ begin ; end $x$", "select /*;*/ 2"]
        assert split_statements(f"{parts[0]};;{parts[1]} ; -- c;\n{parts[2]};") == parts

    def test_text_without_statements(self) -> None:
        assert split_statements(" -- a\n /* b */ ") == split_statements(";;") == []

    def test_untokenizable_text_stays_whole(self) -> None:
        # Guards against splitting inside what an endpoint sees as a string.
        assert split_statements("select 'a ; b") == ["select 'a ; b"]
