"""A client's session: its transaction, its settings and how its statements run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from datetime import UTC, datetime

from celeryjunction.classify import StatementInfo, StatementKind, classify
from celeryjunction.contract import (
    Acknowledgement,
    Contract,
    Rank,
    ShedOrder,
    WorkClass,
)
from celeryjunction.errors import EndpointError, ErrorKind, ProxyError
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock, Column, QueryResult, StatementShape, Step
from celeryjunction.service import GroupService, GroupTransaction
from celeryjunction.shapes import ShapeCache
from celeryjunction.work import Work

TEXT_OID = 25
READ_ONLY_SQLSTATE = "25006"
TRUE_VALUES = frozenset({"on", "true", "yes", "1", "t"})
FALSE_VALUES = frozenset({"off", "false", "no", "0", "f"})
STORED_SETTINGS = frozenset(
    {
        "application_name",
        "extra_float_digits",
        "client_min_messages",
        "jit",
        "lock_timeout",
        "idle_in_transaction_session_timeout",
        "statement_timeout",
    }
)
"""Settings that a client may set; the proxy stores them and forwards none."""
FIXED_SETTINGS = {
    "client_encoding": "UTF8",
    "datestyle": "ISO, MDY",
    "timezone": "UTC",
    "standard_conforming_strings": "on",
    "intervalstyle": "postgres",
}
"""Settings whose value is the same on all shared connections."""

_log = get_logger("session")

Observer = Callable[[Work, float, bool], None]
"""Called after each statement with its work, its duration in s and its success."""


class Session:
    """Implements `ClientSession` for one customer and one database."""

    def __init__(
        self,
        *,
        group: GroupService,
        contract: Callable[[], Contract | None],
        customer: str,
        work_name: str | None,
        shapes: ShapeCache,
        clock: Clock,
        on_close: Callable[[Session], None],
        observe: Observer,
    ) -> None:
        self._group = group
        self._contract = contract
        self._customer = customer
        self._login_work_name = self._work_name = work_name
        self._shapes = shapes
        self._clock = clock
        self._on_close = on_close
        self._observe = observe
        self._settings: dict[str, str] = {}
        self._repeatable: bool | None = None
        self._transaction: GroupTransaction | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_expired = False
        self._running_statements = 0
        self._own_writes_mark: tuple[int, int] | None = None
        self._reported_lost_term = 0

    @property
    def transaction_status(self) -> bytes:
        """``b"I"``, ``b"T"`` or ``b"E"`` as in ReadyForQuery."""
        if self._transaction is None:
            return b"I"
        return b"E" if self._transaction.failed else b"T"

    @property
    def is_busy(self) -> bool:
        """Whether a statement runs or a transaction is open."""
        return self._running_statements > 0 or self._transaction is not None

    def apply_options(self, options: dict[str, str]) -> None:
        """Apply the settings of the startup message, as ``SET`` would."""
        for name, value in options.items():
            self._set(name, value)

    async def describe(self, sql: str, param_oids: Sequence[int]) -> StatementShape:
        """Return a statement's parameters and columns without running it."""
        info = classify(sql)
        self._raise_if_unsupported(info)
        local = self._describe_locally(info)
        if local is not None:
            return local
        oids = tuple(param_oids)
        shape = self._shapes.get(self._group.database, sql, oids)
        if shape is None:
            work = self._make_work(info)
            shape = await self._fetch_shape(work, Step(sql, param_oids=oids))
            self._shapes.put(self._group.database, sql, oids, shape)
        return shape

    async def execute(self, step: Step) -> QueryResult:
        """Run one statement as its kind requires."""
        info = classify(step.sql)
        self._raise_if_unsupported(info)
        self._running_statements += 1
        self._stop_idle_timer()
        started = self._clock.monotonic()
        work: Work | None = None
        ok = False
        try:
            work = self._make_work(info)
            result = await self._dispatch(info, work, step)
            ok = True
            return result
        except ProxyError as error:
            self._record_reported_loss(error)
            raise
        finally:
            self._running_statements -= 1
            self._start_idle_timer()
            if work is not None:
                self._observe(work, self._clock.monotonic() - started, ok)

    async def close(self) -> None:
        """Roll back an open transaction and unregister the session."""
        self._stop_idle_timer()
        transaction, self._transaction = self._transaction, None
        try:
            if transaction is not None:
                await transaction.rollback()
        finally:
            self._on_close(self)

    async def _dispatch(
        self, info: StatementInfo, work: Work, step: Step
    ) -> QueryResult:
        kind = info.kind
        if kind is StatementKind.COMMIT:
            return await self._commit(work)
        if kind is StatementKind.ROLLBACK:
            return await self._rollback()
        if self._idle_expired:
            self._idle_expired = False
            raise ProxyError(
                ErrorKind.IDLE_TRANSACTION, {"limit_s": self._idle_limit_s()}
            )
        transaction = self._transaction
        failed = transaction is not None and transaction.failed
        if failed and not (kind is StatementKind.SAVEPOINT and transaction.opened):
            raise ProxyError(ErrorKind.TRANSACTION_ABORTED)
        if kind is StatementKind.BEGIN:
            return self._begin(info, step)
        if kind in (StatementKind.READ, StatementKind.WRITE, StatementKind.SAVEPOINT):
            return await self._run(info, work, step)
        return await self._answer_locally(info, work, step)

    async def _run(self, info: StatementInfo, work: Work, step: Step) -> QueryResult:
        self._raise_if_write_lost(work)
        step = step._replace(
            prepare=step.prepare and self._shapes.is_repeated(step.sql)
        )
        try:
            return await self._run_by_kind(info, work, step)
        finally:
            if info.is_ddl:
                self._shapes.clear()

    async def _run_by_kind(
        self, info: StatementInfo, work: Work, step: Step
    ) -> QueryResult:
        transaction = self._transaction
        if transaction is not None:
            result = await transaction.execute(work, step)
            if info.kind is StatementKind.SAVEPOINT:
                transaction.failed = False
            try:
                self._raise_if_write_lost(work)
            except ProxyError:
                transaction.failed = True
                raise
            return result
        if info.kind is StatementKind.SAVEPOINT:
            raise _sql_error(
                "25P01", "SAVEPOINT can only be used in transaction blocks"
            )
        if info.kind is StatementKind.READ and not self._shapes.has_hidden_write(
            step.sql
        ):
            try:
                result = await self._group.read(work, step)
                # This read may itself have proven a new term.
                self._raise_if_write_lost(work)
                return result
            except EndpointError as error:
                if error.sqlstate != READ_ONLY_SQLSTATE:
                    raise
                # Nothing was changed: the statement calls a function that writes,
                # which its text does not show.
                self._shapes.record_hidden_write(step.sql)
        result = await self._group.write(work, step)
        self._own_writes_mark = self._group.mark(self._customer)
        return result

    def _begin(self, info: StatementInfo, step: Step) -> QueryResult:
        if self._transaction is None:
            self._transaction = self._group.begin(
                begin_sql=step.sql,
                read_only=bool(info.read_only),
                started_at=self._clock.monotonic(),
            )
        return QueryResult("BEGIN", None, ())

    async def _commit(self, work: Work) -> QueryResult:
        transaction, self._transaction = self._transaction, None
        expired, self._idle_expired = self._idle_expired, False
        if expired:
            raise ProxyError(
                ErrorKind.IDLE_TRANSACTION, {"limit_s": self._idle_limit_s()}
            )
        if transaction is None:
            return QueryResult("COMMIT", None, ())
        tag = await transaction.commit(work)
        self._own_writes_mark = self._group.mark(self._customer)
        return QueryResult(tag, None, ())

    async def _rollback(self) -> QueryResult:
        transaction, self._transaction = self._transaction, None
        self._idle_expired = False
        if transaction is not None:
            await transaction.rollback()
        return QueryResult("ROLLBACK", None, ())

    async def _fetch_shape(self, work: Work, step: Step) -> StatementShape:
        transaction = self._transaction
        if transaction is not None and not transaction.failed:
            shape = await transaction.describe(work, step)
            if shape is not None:
                return shape
        return await self._group.describe(work, step)

    def _make_work(self, info: StatementInfo) -> Work:
        contract = self._current_contract()
        work_class = self._work_class(contract)
        rank = work_class.rank_value
        return Work(
            customer=self._customer,
            rank=rank,
            share=contract.shares.get(rank.label, 0.0),
            started_at=self._clock.monotonic(),
            deadline_s=self._deadline_s(work_class),
            staleness_s=0.0 if self._is_strict else work_class.staleness_ms / 1000,
            repeatable=self._is_repeatable,
            replicated=contract.acknowledgement is Acknowledgement.REPLICATED,
            shed_order=self._shed_order(contract, rank),
            minimum=self._own_writes_mark,
        )

    @property
    def _is_repeatable(self) -> bool:
        if self._repeatable is not None:
            return self._repeatable
        return self._work_class(self._current_contract()).repeatable

    @property
    def _is_strict(self) -> bool:
        return self._settings.get("celeryjunction.strict") == "on"

    def _shed_order(self, contract: Contract, rank: Rank) -> ShedOrder | None:
        if not contract.shed_orders:
            return None
        now = datetime.fromtimestamp(self._clock.wall(), UTC)
        return contract.active_shed_order(rank, now)

    def _deadline_s(self, work_class: WorkClass) -> float:
        limit = int(self._settings.get("statement_timeout", "0") or 0)
        deadline_ms = (
            min(work_class.deadline_ms, limit) if limit > 0 else work_class.deadline_ms
        )
        return deadline_ms / 1000

    def _current_contract(self) -> Contract:
        contract = self._contract()
        if contract is None:
            raise ProxyError(ErrorKind.NO_CONTRACT, {"customer": self._customer})
        return contract

    def _work_class(self, contract: Contract) -> WorkClass:
        # A work class that a newer contract has dropped falls back to the default.
        is_defined = self._work_name in contract.work
        return contract.work_class(self._work_name if is_defined else None)

    def _raise_if_unsupported(self, info: StatementInfo) -> None:
        if info.kind is StatementKind.UNSUPPORTED:
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": info.feature})

    def _raise_if_write_lost(self, work: Work) -> None:
        term = self._group.lost_term(self._customer)
        if term is None or term <= self._reported_lost_term or work.staleness_s > 0:
            return
        self._reported_lost_term = term
        _log.error(
            "acknowledged_write_lost",
            customer=self._customer,
            database=self._group.database,
            term=term,
        )
        raise ProxyError(
            ErrorKind.ACKNOWLEDGED_WRITE_LOST,
            {"term": term, "customer": self._customer},
        )

    def _record_reported_loss(self, error: ProxyError) -> None:
        """Record a loss that a home proxy reported, so that it is reported once."""
        if error.kind is ErrorKind.ACKNOWLEDGED_WRITE_LOST:
            self._reported_lost_term = max(
                self._reported_lost_term, int(error.details["term"])
            )

    def _describe_locally(self, info: StatementInfo) -> StatementShape | None:
        if info.kind in (StatementKind.READ, StatementKind.WRITE):
            return None
        if info.kind is StatementKind.SHOW:
            return StatementShape((), (_text_column(info.setting or "?"),))
        if info.kind is StatementKind.CONSTANT:
            return StatementShape((), _constant_columns(info))
        return StatementShape((), None)

    async def _answer_locally(
        self, info: StatementInfo, work: Work, step: Step
    ) -> QueryResult:
        kind = info.kind
        if kind is StatementKind.SHOW:
            return self._show(info)
        if kind is StatementKind.SET:
            if info.local:
                return await self._set_local(work, step)
            if info.value is None:
                self._reset(info.setting)
            else:
                self._set(info.setting or "", info.value)
            return QueryResult("SET", None, ())
        if kind is StatementKind.RESET:
            self._reset(info.setting)
            return QueryResult("RESET", None, ())
        if kind is StatementKind.CONSTANT:
            row = tuple(value.encode() for _, value in info.answer)
            return QueryResult("SELECT 1", _constant_columns(info), [row])
        return QueryResult(info.value or "", None, ())

    async def _set_local(self, work: Work, step: Step) -> QueryResult:
        if self._transaction is None:
            return QueryResult("SET", None, ())
        return await self._transaction.execute(work, step._replace(prepare=False))

    def _set(self, name: str, value: str) -> None:
        name = name.lower()
        if name.startswith("celeryjunction."):
            self._set_proxy_setting(name, value)
        elif name in FIXED_SETTINGS:
            if _normalized(value) != _normalized(FIXED_SETTINGS[name]):
                raise _invalid_value_error(
                    name, f"only {FIXED_SETTINGS[name]} is possible"
                )
        elif name in STORED_SETTINGS:
            if name == "statement_timeout":
                value = str(_parse_milliseconds(value))
            self._settings[name] = value
        else:
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": f"SET {name}"})

    def _set_proxy_setting(self, name: str, value: str) -> None:
        if name == "celeryjunction.work":
            contract = self._current_contract()
            if value not in contract.work:
                names = ", ".join(sorted(contract.work))
                raise _invalid_value_error(name, f"the contract has {names}")
            self._work_name = value
        elif name == "celeryjunction.repeatable":
            self._repeatable = _parse_boolean(name, value)
        elif name == "celeryjunction.strict":
            self._settings[name] = "on" if _parse_boolean(name, value) else "off"
        else:
            raise _invalid_value_error(name, "no such setting")

    def _reset(self, name: str | None) -> None:
        if name is None or name == "all":
            self._settings.clear()
            self._repeatable = None
            self._work_name = self._login_work_name
        elif name == "celeryjunction.repeatable":
            self._repeatable = None
        elif name == "celeryjunction.work":
            self._work_name = self._login_work_name
        else:
            self._settings.pop(name, None)

    def _show(self, info: StatementInfo) -> QueryResult:
        name = (info.setting or "").lower()
        contract = self._current_contract()
        proxy_settings = {
            "celeryjunction.work": self._work_name or contract.default_work,
            "celeryjunction.repeatable": "on" if self._is_repeatable else "off",
            "celeryjunction.strict": "off",
            "server_version": "16.0",
            "transaction_isolation": "read committed",
            "search_path": '"$user", public',
        }
        defaults = dict.fromkeys(STORED_SETTINGS, "") | FIXED_SETTINGS | proxy_settings
        value = self._settings.get(name, defaults.get(name))
        if value is None:
            raise _sql_error("42704", f'unrecognized configuration parameter "{name}"')
        return QueryResult("SHOW", (_text_column(name),), [(value.encode(),)])

    def _idle_limit_s(self) -> float:
        contract = self._contract()
        return contract.idle_transaction_ms / 1000 if contract else 1.0

    def _start_idle_timer(self) -> None:
        if self._transaction is not None and not self._running_statements:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(self._idle_limit_s(), self._expire_idle)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _expire_idle(self) -> None:
        transaction = self._transaction
        if transaction is None or self._running_statements:
            return
        _log.warning(
            "idle_transaction_rolled_back",
            customer=self._customer,
            database=self._group.database,
        )
        transaction.abort()
        self._idle_expired = True


def _sql_error(sqlstate: str, message: str) -> EndpointError:
    return EndpointError({"S": "ERROR", "V": "ERROR", "C": sqlstate, "M": message})


def _invalid_value_error(name: str, reason: str) -> EndpointError:
    return _sql_error("22023", f"invalid value for parameter {name}: {reason}")


def _parse_boolean(name: str, value: str) -> bool:
    lowered = value.lower()
    if lowered in TRUE_VALUES:
        return True
    if lowered in FALSE_VALUES:
        return False
    raise _invalid_value_error(name, "on or off is needed")


def _parse_milliseconds(value: str) -> int:
    text = value.strip().lower()
    units = (("ms", 1), ("min", 60_000), ("s", 1000), ("", 1))
    for unit, factor in units:
        number = text.removesuffix(unit).strip() if unit else text
        if text.endswith(unit) and number.isdigit():
            return int(number) * factor
    raise _invalid_value_error(
        "statement_timeout", "a number of ms, or with ms, s or min"
    )


def _normalized(value: str) -> str:
    return value.lower().replace(" ", "").replace("-", "").replace("'", "")


def _text_column(name: str) -> Column:
    return Column(name.encode(), TEXT_OID, -1, -1)


def _constant_columns(info: StatementInfo) -> tuple[Column, ...]:
    return tuple(_text_column(name) for name, _ in info.answer)
