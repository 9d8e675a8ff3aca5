//! What is known of PostgreSQL's functions, types and operators, and what operators of an installation declare of theirs.
//!
//! The functions listed are those of `pg_catalog` (PostgreSQL 16) that change nothing: no data, no sequence, no lock, no
//! setting, no other session. Functions that run a statement given as text (`query_to_xml`, `ts_stat`) are not among them,
//! nor those whose answer is the server's or the session's own, such as `currval` or `pg_is_in_recovery`.

use std::collections::HashSet;

/// Functions free of effects, by what they are for.
const FUNCTIONS: &[&str] = &[
    // Mathematics.
    "abs cbrt ceil ceiling degrees div erf erfc exp factorial floor gcd lcm ln log log10 min_scale mod pi power pow radians",
    "round scale sign sqrt trim_scale trunc width_bucket random random_normal acos acosd asin asind atan atand atan2 atan2d",
    "cos cosd cot cotd sin sind tan tand sinh cosh tanh asinh acosh atanh numeric_inc",
    // Strings and bytes.
    "ascii bit_length btrim char_length character_length chr concat concat_ws convert convert_from convert_to decode encode",
    "format initcap left length lower lpad ltrim md5 normalize octet_length overlay parse_ident position quote_ident",
    "quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace",
    "regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim split_part starts_with",
    "string_to_array string_to_table strpos substr substring to_ascii to_hex translate trim unistr upper unicode_assigned",
    "get_bit get_byte set_bit set_byte sha224 sha256 sha384 sha512 crc32 crc32c bit_count casefold unaccent similarity",
    // Dates and times.
    "age clock_timestamp current_date current_time current_timestamp date_add date_bin date_part date_subtract date_trunc",
    "extract isfinite justify_days justify_hours justify_interval localtime localtimestamp make_date make_interval make_time",
    "make_timestamp make_timestamptz now statement_timestamp timeofday to_char to_date to_number to_timestamp",
    "transaction_timestamp timezone overlaps",
    // Conditions and comparisons.
    "coalesce nullif greatest least num_nonnulls num_nulls exists",
    // Arrays, ranges, rows and sets.
    "array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions",
    "array_prepend array_remove array_replace array_reverse array_sample array_shuffle array_sort array_to_string array_upper",
    "cardinality trim_array unnest generate_series generate_subscripts isempty lower_inc lower_inf upper_inc upper_inf",
    "range_merge multirange int4range int8range numrange tsrange tstzrange daterange int4multirange int8multirange",
    "nummultirange tsmultirange tstzmultirange datemultirange row array",
    // JSON.
    "array_to_json row_to_json to_json to_jsonb json_build_array jsonb_build_array json_build_object jsonb_build_object",
    "json_object jsonb_object json_array json_array_elements jsonb_array_elements json_array_elements_text",
    "jsonb_array_elements_text json_array_length jsonb_array_length json_each jsonb_each json_each_text jsonb_each_text",
    "json_extract_path jsonb_extract_path json_extract_path_text jsonb_extract_path_text json_object_keys jsonb_object_keys",
    "json_populate_record jsonb_populate_record json_populate_recordset jsonb_populate_recordset json_to_record",
    "jsonb_to_record json_to_recordset jsonb_to_recordset jsonb_set jsonb_set_lax jsonb_insert json_strip_nulls",
    "jsonb_strip_nulls jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first",
    "jsonb_path_exists_tz jsonb_path_match_tz jsonb_path_query_tz jsonb_path_query_array_tz jsonb_path_query_first_tz",
    "jsonb_pretty json_typeof jsonb_typeof json_scalar json_serialize json_value json_query json_exists jsonb_concat",
    "jsonb_delete json jsonb_contains jsonb_exists",
    // Text search.
    "array_to_tsvector get_current_ts_config numnode plainto_tsquery phraseto_tsquery websearch_to_tsquery querytree setweight",
    "strip to_tsquery to_tsvector json_to_tsvector jsonb_to_tsvector ts_delete ts_filter ts_headline ts_rank ts_rank_cd",
    "tsquery_phrase tsvector_to_array ts_debug ts_lexize ts_parse ts_token_type",
    // Networks, geometry, identifiers, XML, enumerations.
    "abbrev broadcast family host hostmask inet_merge inet_same_family masklen netmask network set_masklen macaddr8_set7bit",
    "area center diagonal diameter height isclosed isopen npoints pclose popen radius slope width bound_box",
    "gen_random_uuid uuid_extract_timestamp uuid_extract_version uuidv4 uuidv7",
    "xmlcomment xmlconcat xmlelement xmlforest xmlpi xmltext xml_is_well_formed xml_is_well_formed_content",
    "xml_is_well_formed_document xpath xpath_exists xmlexists xmlserialize xmlparse",
    "enum_first enum_last enum_range",
    // Aggregates and windows.
    "any_value array_agg avg bit_and bit_or bit_xor bool_and bool_or count every json_agg jsonb_agg json_object_agg",
    "jsonb_object_agg json_arrayagg json_objectagg max min range_agg range_intersect_agg string_agg sum xmlagg corr covar_pop",
    "covar_samp regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy stddev",
    "stddev_pop stddev_samp variance var_pop var_samp mode percentile_cont percentile_disc rank dense_rank percent_rank",
    "cume_dist row_number ntile lag lead first_value last_value nth_value grouping",
    // What drivers ask of the catalogue.
    "current_catalog current_database current_role current_schema current_schemas current_user session_user user version",
    "current_setting format_type col_description obj_description shobj_description has_any_column_privilege",
    "has_column_privilege has_database_privilege has_function_privilege has_schema_privilege has_sequence_privilege",
    "has_table_privilege has_type_privilege pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_function_arguments",
    "pg_get_function_identity_arguments pg_get_function_result pg_get_indexdef pg_get_keywords pg_get_partkeydef",
    "pg_get_ruledef pg_get_serial_sequence pg_get_triggerdef pg_get_userbyid pg_get_viewdef pg_encoding_to_char",
    "pg_table_is_visible pg_type_is_visible pg_function_is_visible pg_typeof pg_column_size pg_database_size",
    "pg_indexes_size pg_relation_size pg_size_bytes pg_size_pretty pg_table_size pg_total_relation_size pg_client_encoding",
    "pg_char_to_encoding pg_collation_for pg_relation_filenode to_regclass to_regtype to_regproc to_regnamespace to_regrole",
    // Casts written as calls.
    "text varchar bpchar char name bool boolean int2 int4 int8 smallint integer int bigint real float4 float8 numeric decimal",
    "date time timetz timestamp timestamptz interval bytea uuid jsonb oid inet cidr macaddr point box circle line lseg path",
    "polygon tsvector tsquery regclass money bit varbit float precision",
];

/// Key words behind which a bracket opens no call.
const NON_CALL_KEYWORDS: &str = "all and any as asc between by case cast check collate cross cube current desc distinct else end except \
    exclude fetch filter first following for from full group grouping groups having ilike in inner intersect is isnull join \
    lateral left like limit materialized natural next not notnull nulls offset on only or order ordinality outer over \
    partition preceding range recursive repeatable right rollup rows select sets similar some symmetric table tablesample then ties \
    to unbounded union using values when where window with within";

/// Key words that are reserved in PostgreSQL ("SQL Key Words"): no function, type or alias has one for its bare name.
const RESERVED: &str = "all analyse analyze and any array as asc asymmetric both case cast check collate column constraint \
    create default deferrable desc distinct do else except fetch for foreign from grant group having in initially intersect \
    into lateral leading limit not offset on only or order placing primary references returning select some symmetric table \
    then to trailing union unique using variadic when where window with";

/// Reserved key words that an operand may end in.
const RESERVED_OPERANDS: &str = "end true false null current_catalog current_date current_role current_time \
    current_timestamp current_user localtime localtimestamp session_user system_user user";

/// Whether a bare word is reserved.
pub(crate) fn is_reserved(word: &str) -> bool {
    is_among(RESERVED, word) || is_reserved_operand(word)
}

/// Whether a bare word is a reserved one that an operand may end in.
pub(crate) fn is_reserved_operand(word: &str) -> bool {
    is_among(RESERVED_OPERANDS, word)
}

fn is_among(words: &str, word: &str) -> bool {
    words.split_whitespace().any(|listed| listed == word)
}

/// Key words that stand before an operand: a name behind one of them, with a bracket, is a call. Behind any other name it
/// would be an alias with its columns.
const KEYWORDS_BEFORE_OPERANDS: &str =
    "at escape first next zone name passing variadic by rows range groups last nulls uescape to ilike overlaps ref version \
    asymmetric both default leading placing trailing \
    returning path content document value values key absent ordinality without with over of no off language";

const TYPES: &str = "text varchar character char bpchar name bool boolean smallint int2 integer int int4 bigint int8 decimal \
    numeric real float4 float float8 double date time timetz timestamp timestamptz interval bytea uuid json jsonb jsonpath xml \
    oid regclass regtype regproc regprocedure regnamespace regrole regoper regconfig inet cidr macaddr macaddr8 point box circle \
    line lseg path polygon tsvector tsquery money bit varbit int4range int8range numrange tsrange tstzrange daterange xid \
    pg_lsn record cstring national dec";

const OPERATORS: &str = "+ - * / % ^ = <> != < > <= >= ~ ~* !~ !~* ~~ ~~* !~~ !~~* || | & # << >> @ |/ ||/ -> ->> #> #>> \
    @> <@ ? ?| ?& #- @? @@ @@@ && &< &> -|- <-> <<| |>> &<| |&> <^ >^ ## ?# ?- ?-| ?|| @-@ ~= <<= >>= ^@ => ~>~ ~<~ ~>=~ ~<=~ !!";

/// Words that a query may not hold where it is to be a read: each of them changes something, wherever it stands.
const WRITING_KEYWORDS: &str = "insert update delete merge into truncate returning";

/// What is free of effects.
#[derive(Clone, Debug)]
pub struct Catalogue {
    functions: HashSet<String>,
    qualified: HashSet<String>,
    types: HashSet<String>,
    writing: HashSet<String>,
    operators: HashSet<&'static str>,
    non_call_keywords: HashSet<&'static str>,
    keywords_before_operands: HashSet<&'static str>,
    writes: HashSet<&'static str>,
}

/// What an installation says of its own functions and types. Names are as PostgreSQL keeps them: in lower case, unless
/// they were made in double quotes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declared {
    /// Functions without effects, `name` or `schema.name`.
    pub reading: Vec<String>,
    /// Functions with effects, for those that are called as if they were columns (`t.name`), and for PostgreSQL's own
    /// where they are redefined.
    pub writing: Vec<String>,
    /// Types whose input and casts have no effects, such as enumerations.
    pub types: Vec<String>,
}

impl Default for Catalogue {
    fn default() -> Self {
        Catalogue::new(&Declared::default())
    }
}

impl Catalogue {
    /// PostgreSQL's own, and what is declared.
    pub fn new(declared: &Declared) -> Self {
        let words = |text: &'static str| text.split_whitespace().collect::<HashSet<_>>();
        let (qualified, plain): (Vec<_>, Vec<_>) = declared.reading.iter().partition(|n| n.contains('.'));
        let own = FUNCTIONS.iter().flat_map(|line| line.split_whitespace());
        let mut functions: HashSet<String> =
            own.map(str::to_owned).chain(plain.into_iter().cloned()).collect();
        functions.retain(|name| !declared.writing.contains(name));
        let types = TYPES.split_whitespace().map(str::to_owned).chain(declared.types.iter().cloned());
        Catalogue {
            functions,
            qualified: qualified.into_iter().cloned().collect(),
            types: types.collect(),
            writing: declared.writing.iter().cloned().collect(),
            operators: words(OPERATORS),
            non_call_keywords: words(NON_CALL_KEYWORDS),
            keywords_before_operands: words(KEYWORDS_BEFORE_OPERANDS),
            writes: words(WRITING_KEYWORDS),
        }
    }

    /// Whether a function is free of effects. `schema` is what stands before its name.
    pub fn is_pure(&self, schema: Option<&str>, name: &str) -> bool {
        match schema {
            None => self.functions.contains(name),
            Some("pg_catalog") => self.functions.contains(name) && !self.writing.contains(name),
            Some(schema) => self.qualified.contains(&format!("{schema}.{name}")),
        }
    }

    /// Whether a name is declared to be a function that writes.
    pub fn is_writing(&self, name: &str) -> bool {
        self.writing.contains(name)
    }

    pub(crate) fn is_type(&self, name: &str) -> bool {
        self.types.contains(name)
    }

    pub(crate) fn is_operator(&self, text: &str) -> bool {
        self.operators.contains(text)
    }

    pub(crate) fn begins_no_call(&self, word: &str) -> bool {
        self.non_call_keywords.contains(word)
    }

    pub(crate) fn stands_before_operand(&self, word: &str) -> bool {
        self.non_call_keywords.contains(word) || self.keywords_before_operands.contains(word)
    }

    pub(crate) fn writes(&self, word: &str) -> bool {
        self.writes.contains(word)
    }
}
