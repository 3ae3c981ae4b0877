"""Names of built-in PostgreSQL functions, grouped by the effect of a call.

`READ_FUNCTIONS` change neither data nor the state of the connection. A call of a
function that is not listed makes its statement a write. A missing name therefore only
costs a round trip to the primary, while a wrongly listed name breaks correctness.
"""

from __future__ import annotations


def _parse_names(text: str) -> frozenset[str]:
    return frozenset(text.split())


_AGGREGATES = """
    any_value array_agg avg bit_and bit_or bit_xor bool_and bool_or corr count covar_pop
    covar_samp every json_agg json_agg_strict json_arrayagg json_object_agg
    json_object_agg_strict json_object_agg_unique json_objectagg jsonb_agg
    jsonb_agg_strict jsonb_object_agg jsonb_object_agg_strict max min mode
    percentile_cont percentile_disc range_agg range_intersect_agg regr_avgx regr_avgy
    regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy stddev
    stddev_pop stddev_samp string_agg sum var_pop var_samp variance xmlagg
"""

_WINDOW = """
    cume_dist dense_rank first_value lag last_value lead nth_value ntile percent_rank
    rank row_number
"""

_STRINGS = """
    ascii bit_length btrim char_length character_length chr concat concat_ws convert
    convert_from convert_to decode encode format get_bit get_byte initcap left length
    lower lpad ltrim md5 normalize octet_length overlay parse_ident position quote_ident
    quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match
    regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table
    regexp_substr repeat replace reverse right rpad rtrim set_bit set_byte sha224 sha256
    sha384 sha512 split_part starts_with string_to_array string_to_table strpos
    substr substring text to_ascii to_hex translate trim unistr upper crc32 crc32c
    bit_count like notlike texticlike textlike textregexeq
"""

_MATH = """
    abs acos acosd acosh asin asind asinh atan atan2 atan2d atand atanh cbrt ceil
    ceiling cos cosd cosh cot cotd degrees div erf erfc exp factorial floor gamma gcd
    lcm lgamma ln log log10 min_scale mod pi power radians random random_normal round
    scale sign sin sind sinh sqrt tan tand tanh trim_scale trunc width_bucket
    int2 int4 int8 float4 float8 numeric_mul
"""

_DATES = """
    age clock_timestamp current_date current_time current_timestamp date date_add
    date_bin date_part date_subtract date_trunc extract isfinite justify_days
    justify_hours justify_interval localtime localtimestamp make_date make_interval
    make_time make_timestamp make_timestamptz now overlaps statement_timestamp timeofday
    timezone to_char to_date to_number to_timestamp transaction_timestamp
"""

_JSON = """
    array_to_json json json_array json_array_elements json_array_elements_text
    json_array_length json_build_array json_build_object json_each json_each_text
    json_exists json_extract_path json_extract_path_text json_object json_object_keys
    json_populate_record json_populate_recordset json_query json_scalar json_serialize
    json_strip_nulls json_table json_to_record json_to_recordset json_typeof json_value
    jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array
    jsonb_build_object jsonb_contains jsonb_each jsonb_each_text jsonb_exists
    jsonb_exists_all jsonb_exists_any jsonb_extract_path jsonb_extract_path_text
    jsonb_insert jsonb_object jsonb_object_keys jsonb_path_exists jsonb_path_exists_tz
    jsonb_path_match jsonb_path_match_tz jsonb_path_query jsonb_path_query_array
    jsonb_path_query_array_tz jsonb_path_query_first jsonb_path_query_first_tz
    jsonb_path_query_tz jsonb_populate_record jsonb_populate_recordset jsonb_pretty
    jsonb_set jsonb_set_lax jsonb_strip_nulls jsonb_to_record jsonb_to_recordset
    jsonb_typeof row_to_json to_json to_jsonb
"""

_ARRAYS_AND_RANGES = """
    array_append array_cat array_contains array_dims array_fill array_length array_lower
    array_ndims array_position array_positions array_prepend array_remove array_replace
    array_sample array_shuffle array_sort array_to_string array_upper cardinality
    generate_series generate_subscripts trim_array unnest
    daterange datemultirange int4range int4multirange int8range int8multirange isempty
    lower_inc lower_inf multirange numrange nummultirange range_merge tsmultirange
    tsrange tstzmultirange tstzrange upper_inc upper_inf
"""

_TEXT_SEARCH_AND_NETWORK = """
    array_to_tsvector get_current_ts_config numnode phraseto_tsquery plainto_tsquery
    querytree setweight strip to_tsquery to_tsvector ts_delete ts_filter ts_headline
    ts_rank ts_rank_cd tsquery_phrase tsvector_to_array websearch_to_tsquery
    abbrev broadcast family host hostmask inet_merge inet_same_family macaddr8_set7bit
    masklen netmask network set_masklen
"""

_GEOMETRY_AND_XML = """
    area bound_box box center circle diagonal diameter height isclosed isopen line lseg
    npoints path pclose point polygon popen radius slope width
    xml_is_well_formed xml_is_well_formed_content xml_is_well_formed_document
    xmlcomment xmlconcat xmlelement xmlexists xmlforest xmlparse xmlpi xmlroot
    xmlserialize xmltable xmltext xpath xpath_exists
"""

_CONDITIONALS_AND_IDS = """
    coalesce greatest least nullif num_nonnulls num_nulls gen_random_uuid
    uuid_extract_timestamp uuid_extract_version uuidv4 uuidv7 enum_first enum_last
    enum_range hashtext hashtextextended
"""

# pg_advisory_unlock_all is included because no connection holds a session-level lock,
# and client pools send it when a connection returns to the pool.
_SESSION_AND_CATALOG = """
    col_description current_catalog current_database current_query current_role
    current_schema current_schemas current_setting current_user format_type
    has_any_column_privilege has_column_privilege has_database_privilege
    has_function_privilege has_schema_privilege has_sequence_privilege
    has_table_privilege has_type_privilege inet_client_addr inet_client_port
    inet_server_addr inet_server_port obj_description pg_advisory_unlock_all
    pg_backend_pid pg_client_encoding pg_collation_for pg_collation_is_visible
    pg_column_compression pg_column_size pg_conf_load_time pg_conversion_is_visible
    pg_current_snapshot pg_current_xact_id_if_assigned pg_database_size
    pg_encoding_to_char pg_char_to_encoding pg_function_is_visible
    pg_get_constraintdef pg_get_expr pg_get_function_arguments
    pg_get_function_identity_arguments pg_get_function_result pg_get_functiondef
    pg_get_indexdef pg_get_keywords pg_get_partition_constraintdef pg_get_partkeydef
    pg_get_ruledef pg_get_serial_sequence pg_get_statisticsobjdef pg_get_triggerdef
    pg_get_userbyid pg_get_viewdef pg_has_role pg_index_column_has_property
    pg_index_has_property pg_indexam_has_property pg_indexes_size pg_is_in_recovery
    pg_is_other_temp_schema pg_is_wal_replay_paused pg_last_wal_receive_lsn
    pg_last_wal_replay_lsn pg_last_xact_replay_timestamp pg_lsn pg_my_temp_schema
    pg_opclass_is_visible pg_operator_is_visible pg_opfamily_is_visible
    pg_options_to_table pg_postmaster_start_time pg_relation_filenode
    pg_relation_is_publishable pg_relation_size pg_safe_snapshot_blocking_pids
    pg_sequence_last_value pg_size_bytes pg_size_pretty pg_sleep pg_sleep_for
    pg_sleep_until pg_snapshot_xip pg_snapshot_xmax pg_snapshot_xmin
    pg_stat_get_activity pg_table_is_visible pg_table_size pg_tablespace_databases
    pg_tablespace_location pg_tablespace_size pg_timezone_abbrevs pg_timezone_names
    pg_total_relation_size pg_trigger_depth pg_ts_config_is_visible
    pg_type_is_visible pg_typeof pg_visible_in_snapshot pg_wal_lsn_diff pg_xact_status
    row_security_active session_user shobj_description to_regclass to_regcollation
    to_regnamespace to_regoper to_regoperator to_regproc to_regprocedure to_regrole
    to_regtype to_regtypemod txid_current_if_assigned txid_current_snapshot txid_status
    version _pg_expandarray
"""

READ_FUNCTIONS = _parse_names(
    " ".join(
        (
            _AGGREGATES,
            _WINDOW,
            _STRINGS,
            _MATH,
            _DATES,
            _JSON,
            _ARRAYS_AND_RANGES,
            _TEXT_SEARCH_AND_NETWORK,
            _GEOMETRY_AND_XML,
            _CONDITIONALS_AND_IDS,
            _SESSION_AND_CATALOG,
        )
    )
)
"""Built-in functions that change neither data nor the state of the connection."""

WRITE_FUNCTIONS = _parse_names(
    """
    nextval setval pg_advisory_xact_lock pg_advisory_xact_lock_shared
    pg_try_advisory_xact_lock pg_try_advisory_xact_lock_shared pg_current_xact_id
    txid_current pg_notify set_config
    """
)
"""Built-in functions that make a statement a write but leave no state to reset."""

LOCK_FUNCTIONS = _parse_names(
    """
    pg_advisory_xact_lock pg_advisory_xact_lock_shared pg_try_advisory_xact_lock
    pg_try_advisory_xact_lock_shared
    """
)
"""Functions that take a lock until the end of the transaction."""

SESSION_FUNCTIONS = _parse_names(
    """
    pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock
    pg_try_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_shared
    currval lastval
    """
)
"""Functions whose effect or result depends on the session; refused as unsupported."""

# Words before a parenthesis that are not a call. Each is reserved, or cannot name a
# function, or (join, like, ilike, cube, rollup) has a fixed meaning in the grammar
# where queries use it.
SYNTAX_WORDS = _parse_names(
    """
    all and any array as asymmetric between case cast cube distinct else except exists
    for from group grouping having ilike in intersect is join lateral like limit not
    null offset on only or returning rollup row select some symmetric then to union
    using values variadic when where with
    bit bpchar char character dec decimal float interval nchar numeric precision
    time timestamp timestamptz timetz treat varbit varchar varying
    """
) | {
    "character varying",
    "char varying",
    "double precision",
    "group by",
    "grouping sets",
    "order by",
    "partition by",
    "similar to",
}
"""Keywords and type names after which a parenthesis does not start a function call."""
