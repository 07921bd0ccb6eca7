//! The lexer, fingerprints and classification: single cases, arbitrary bytes, comparison with the lexer of `sqlparser`, and reads
//! with an embedded write.

use ottersill_statement::classify::{StatementKind, classify, classify_by_prescan, prescan};
use ottersill_statement::fingerprint::{self, Key};
use ottersill_statement::lexer::{Lexer, TokenKind};
use proptest::prelude::*;
use rstest::rstest;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

const KEY: Key = Key(1, 2);

fn kinds(text: &str) -> Vec<(TokenKind, String)> {
    let bytes = text.as_bytes();
    Lexer::new(bytes).map(|t| (t.kind, String::from_utf8_lossy(t.bytes(bytes)).into_owned())).collect()
}

#[rstest]
#[case::nested_comment("a/*b/*c*/d*/e", &[(TokenKind::Word, "a"), (TokenKind::BlockComment, "/*b/*c*/d*/"), (TokenKind::Word, "e")])]
#[case::comment_in_operator("a+/*b*/c", &[(TokenKind::Word, "a"), (TokenKind::Operator, "+"), (TokenKind::BlockComment, "/*b*/"), (TokenKind::Word, "c")])]
#[case::dashes_in_operator("a+--b", &[(TokenKind::Word, "a"), (TokenKind::Operator, "+"), (TokenKind::LineComment, "--b")])]
#[case::sign_after_operator("a=-1", &[(TokenKind::Word, "a"), (TokenKind::Operator, "="), (TokenKind::Operator, "-"), (TokenKind::Number, "1")])]
#[case::sign_within_operator("a@-1", &[(TokenKind::Word, "a"), (TokenKind::Operator, "@-"), (TokenKind::Number, "1")])]
#[case::escapes(r"E'\'' x", &[(TokenKind::Literal, r"E'\''"), (TokenKind::Word, "x")])]
#[case::no_escapes(r"'\' x", &[(TokenKind::Literal, r"'\'"), (TokenKind::Word, "x")])]
#[case::doubled("'a''b'", &[(TokenKind::Literal, "'a''b'")])]
#[case::unicode_name(r#"U&"d\0061t" x"#, &[(TokenKind::UnicodeQuotedName, r#"U&"d\0061t""#), (TokenKind::Word, "x")])]
#[case::no_unicode_name("u & x", &[(TokenKind::Word, "u"), (TokenKind::Operator, "&"), (TokenKind::Word, "x")])]
#[case::dollars("$$a$b$$ $t$a$$b$t$", &[(TokenKind::DollarLiteral, "$$a$b$$"), (TokenKind::DollarLiteral, "$t$a$$b$t$")])]
#[case::dollars_in_a_name("a$b$c", &[(TokenKind::Word, "a$b$c")])]
#[case::parameter("$1+$23", &[(TokenKind::Parameter, "$1"), (TokenKind::Operator, "+"), (TokenKind::Parameter, "$23")])]
#[case::numbers("1 1.5 .5 1e-3 0xFF 1_000", &[(TokenKind::Number, "1"), (TokenKind::Number, "1.5"), (TokenKind::Number, ".5"),
    (TokenKind::Number, "1e-3"), (TokenKind::Number, "0xFF"), (TokenKind::Number, "1_000")])]
#[case::number_and_word("1a", &[(TokenKind::Invalid, "1a")])]
#[case::nul("a\0b", &[(TokenKind::Word, "a"), (TokenKind::Invalid, "\0b")])]
#[case::other_space("a\u{a0}b", &[(TokenKind::Word, "a\u{a0}b")])]
#[case::unfinished("a 'b", &[(TokenKind::Word, "a"), (TokenKind::Invalid, "'b")])]
#[case::cast("a::b:=c:d", &[(TokenKind::Word, "a"), (TokenKind::Operator, "::"), (TokenKind::Word, "b"), (TokenKind::Operator, ":="),
    (TokenKind::Word, "c"), (TokenKind::Punctuation, ":"), (TokenKind::Word, "d")])]
fn splits_text_into_tokens(#[case] text: &str, #[case] expected: &[(TokenKind, &str)]) {
    let expected: Vec<_> = expected.iter().map(|(kind, text)| (*kind, (*text).to_string())).collect();
    assert_eq!(kinds(text), expected);
}

#[rstest]
#[case::literals("SELECT a FROM b WHERE c = 1", "select  a from b\nwhere c = 'x' -- y", true)]
#[case::parameter("SELECT a FROM b WHERE c = 1", "SELECT a FROM b WHERE c = $1", true)]
#[case::sign("SELECT a FROM b WHERE c = 1", "SELECT a FROM b WHERE c = -1", true)]
#[case::sign_subtracts("SELECT a - 1", "SELECT a, 1", false)]
#[case::in_list("SELECT a FROM b WHERE c IN (1)", "SELECT a FROM b WHERE c IN (1, $2, 'x', NULL, -4)", true)]
#[case::in_list_and_more("SELECT a FROM b WHERE c IN (1)", "SELECT a FROM b WHERE c IN (1, d)", false)]
#[case::in_list_broken("SELECT a FROM b WHERE c IN (1)", "SELECT a FROM b WHERE c IN (1 2)", false)]
#[case::in_list_open("SELECT a FROM b WHERE c IN (1)", "SELECT a FROM b WHERE c IN (1, )", false)]
#[case::rows("INSERT INTO a VALUES (1, 2)", "INSERT INTO a VALUES (1, 'x'), (NULL, 4), (5, 6)", true)]
#[case::rows_of_other_length("INSERT INTO a VALUES (1, 2)", "INSERT INTO a VALUES (1, 2), (3)", false)]
#[case::rows_with_a_call("INSERT INTO a VALUES (1, 2)", "INSERT INTO a VALUES (1, 2), (3, f(4))", false)]
#[case::rows_without_comma("INSERT INTO a VALUES (1, 2)", "INSERT INTO a VALUES (1, 2) (3, 4)", false)]
#[case::two_values("SELECT 1", "SELECT 1 2", false)]
#[case::literal_goes_on("SELECT 'a'", "SELECT 'a'\n'b'", true)]
#[case::literal_does_not_go_on("SELECT 'a'", "SELECT 'a' 'b'", false)]
#[case::comment("SELECT 1", "SELECT /* a */ 1 /* b */", true)]
#[case::case_of_words("SELECT a FROM B", "select A from b", true)]
#[case::case_of_names("SELECT \"a\"", "SELECT \"A\"", false)]
#[case::other_table("SELECT a FROM b", "SELECT a FROM c", false)]
#[case::other_function("SELECT lower('a')", "SELECT upper('a')", false)]
#[case::kind_behind_a_word("SELECT date '2026-01-01'", "SELECT date 1", false)]
#[case::doubtful("SELECT 'a'", r"SELECT 'a\'", false)]
#[case::split_word("SELECT ab", "SELECT a b", false)]
#[case::semicolon("SELECT 1", "SELECT 1;", false)]
fn fingerprints_ignore_values_alone(#[case] one: &str, #[case] other: &str, #[case] same: bool) {
    let fingerprint = |text: &str| fingerprint::fingerprint_of(KEY, text.as_bytes());
    assert_eq!(
        fingerprint(one) == fingerprint(other),
        same,
        "{}\n{}",
        fingerprint::canonical_text(one.as_bytes()),
        fingerprint::canonical_text(other.as_bytes())
    );
    // A different key gives different fingerprints; otherwise a client could compute colliding texts in advance.
    assert_ne!(fingerprint(one), fingerprint::fingerprint_of(Key(1, 3), one.as_bytes()));
}

/// Guards against texts that take unbounded time, panic or overflow the stack, and against a read found in any but the cases that
/// only read.
#[rstest]
#[case::parentheses("SELECT ".to_string() + &"(".repeat(10_000) + "1" + &")".repeat(10_000), StatementKind::Unknown)]
#[case::open_parentheses("(".repeat(60_000), StatementKind::Unknown)]
#[case::brackets("SELECT a".to_string() + &"[".repeat(10_000), StatementKind::Unknown)]
#[case::nested_calls("SELECT ".to_string() + &"lower(".repeat(5000) + "a" + &")".repeat(5000), StatementKind::Unknown)]
#[case::nested_queries("SELECT * FROM ".to_string() + &"(SELECT * FROM ".repeat(2000) + "a" + &") b".repeat(2000), StatementKind::Unknown)]
#[case::nested_from("SELECT * FROM ".to_string() + &"(".repeat(11) + "a" + &")".repeat(11), StatementKind::Unknown)]
#[case::nested_a_little("SELECT ".to_string() + &"(".repeat(11) + "a" + &")".repeat(11), StatementKind::Read)]
#[case::nested_tries("SELECT ".to_string() + &"(SELECT (a, ".repeat(6) + "b" + &"))".repeat(6), StatementKind::Read)]
#[case::nested_cases("SELECT ".to_string() + &"CASE WHEN a THEN ".repeat(1000) + "1" + &" END".repeat(1000), StatementKind::Read)]
#[case::fewer_nested_cases("SELECT ".to_string() + &"CASE WHEN a THEN ".repeat(200) + "1" + &" END".repeat(200), StatementKind::Unknown)]
#[case::nots("SELECT ".to_string() + &"NOT ".repeat(10_000) + "a", StatementKind::Read)]
#[case::minuses("SELECT ".to_string() + &"- ".repeat(10_000) + "a", StatementKind::Read)]
#[case::chain("SELECT a".to_string() + &" + a".repeat(20_000), StatementKind::Read)]
#[case::short_chain("SELECT a".to_string() + &" + a".repeat(700), StatementKind::Read)]
#[case::unions("SELECT 1".to_string() + &" UNION SELECT 1".repeat(480), StatementKind::Read)]
#[case::in_list("SELECT a FROM b WHERE c IN (1".to_string() + &", 12345".repeat(9000) + ")", StatementKind::Read)]
#[case::rows("INSERT INTO a VALUES (1)".to_string() + &", (2)".repeat(9000), StatementKind::Write)]
#[case::no_grammar("SELECT FROM WHERE".to_string(), StatementKind::Unknown)]
#[case::quotes("SELECT ".to_string() + &"'".repeat(64_001), StatementKind::Unknown)]
#[case::comments("SELECT ".to_string() + &"/*".repeat(32_000), StatementKind::Unknown)]
#[case::dollars("SELECT ".to_string() + &"$a$".repeat(20_001), StatementKind::Unknown)]
#[case::tags("SELECT $abc$".to_string() + &"$ab".repeat(20_000), StatementKind::Unknown)]
#[case::write_far_behind("SELECT a".to_string() + &" + a".repeat(20_000) + " + nextval('s')", StatementKind::Write)]
#[case::write_deep("SELECT ".to_string() + &"(".repeat(70) + "nextval('s')" + &")".repeat(70), StatementKind::Unknown)]
fn oversized_texts_take_bounded_time(#[case] text: String, #[case] expected: StatementKind) {
    let started = std::time::Instant::now();
    let kind = classify(text.as_bytes()).kind;
    // Allows for a debug build on a busy machine. Without limits, such texts take minutes or crash the process.
    assert!(started.elapsed().as_secs_f64() < 5.0, "{:?}", started.elapsed());
    assert_eq!(kind, expected);
}

/// Returns the start of each word, quoted name and literal, which both lexers have in common.
fn token_starts(text: &str) -> Vec<String> {
    let bytes = text.as_bytes();
    let tokens = Lexer::new(bytes).filter(|t| {
        matches!(
            t.kind,
            TokenKind::Word | TokenKind::QuotedName | TokenKind::Literal | TokenKind::DollarLiteral
        )
    });
    tokens.map(|t| format!("{:?}", t.span.start)).collect()
}

/// Returns the same for the lexer of `sqlparser`, or nothing if it rejects the text.
fn sqlparser_token_starts(text: &str) -> Option<Vec<String>> {
    let tokens =
        Tokenizer::new(&PostgreSqlDialect {}, text).with_unescape(false).tokenize_with_location().ok()?;
    let line_starts: Vec<usize> = std::iter::once(0)
        .chain(text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at + 1))
        .collect();
    let start_offset = |token: &sqlparser::tokenizer::TokenWithSpan| {
        let line = line_starts[token.span.start.line as usize - 1];
        // Columns are counted in characters, not in bytes.
        let column = token.span.start.column as usize - 1;
        let bytes: usize = text[line..].chars().take(column).map(char::len_utf8).sum();
        format!("{:?}", line + bytes)
    };
    let is_compared = |token: &Token| {
        matches!(
            token,
            Token::Word(_)
                | Token::SingleQuotedString(_)
                | Token::EscapedStringLiteral(_)
                | Token::UnicodeStringLiteral(_)
                | Token::NationalStringLiteral(_)
                | Token::SingleQuotedByteStringLiteral(_)
                | Token::HexStringLiteral(_)
                | Token::DollarQuotedString(_)
        )
    };
    Some(tokens.iter().filter(|token| is_compared(&token.token)).map(start_offset).collect())
}

/// Generates pieces of SQL in any order, including those that lexers often misread.
fn sql_pieces() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        Just("SELECT"),
        Just("a"),
        Just("\"b c\""),
        Just("'d e'"),
        Just("'f''g'"),
        Just("1"),
        Just("1.5"),
        Just("("),
        Just(")"),
        Just(","),
        Just("."),
        Just("+"),
        Just("="),
        Just("<="),
        Just("::"),
        Just("/* h */"),
        Just("/* i /* j */ k */"),
        Just("-- l\n"),
        Just("$$m$$"),
        Just("$n$o$n$"),
        Just("E'p\\'q'"),
        Just("B'1'"),
        Just("X'1F'"),
        Just("N'r'"),
        Just("FROM"),
        Just("FOR"),
        Just("UPDATE"),
        Just("DELETE"),
        Just("\n"),
        Just("nextval"),
        Just("é"),
        Just("$1"),
        Just("[1]"),
        Just("||"),
        Just("->"),
        Just("'s /* t */'"),
        Just("'u -- v'"),
        Just("\"w /* x */\""),
    ];
    prop::collection::vec(piece, 0..30).prop_map(|pieces| pieces.join(" "))
}

/// Reads with a placeholder for any expression.
const READS: [&str; 8] = [
    "SELECT a FROM b WHERE c = {}",
    "SELECT a, {} FROM b",
    "WITH x AS (SELECT {}) SELECT * FROM x",
    "SELECT * FROM (SELECT {} AS y) AS z",
    "SELECT lower({}) FROM b ORDER BY a",
    "SELECT CASE WHEN {} IS NULL THEN 1 ELSE 2 END",
    "SELECT a FROM b WHERE c IN (1, {}, 3) GROUP BY a",
    "VALUES (1, {}), (2, 3)",
];

/// Expressions that write, or that may write.
const WRITES: [&str; 10] = [
    "nextval('s')",
    "\"nextval\"('s')",
    "pg_catalog.nextval('s')",
    "unheard_of(1)",
    "public.lower('a')",
    "(SELECT 1 FROM d FOR UPDATE)",
    "'x'::my_type",
    "CAST(1 AS my_type)",
    "(1 OPERATOR(public.+) 2)",
    "my_type 'x'",
];

fn white_space() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        Just(" "),
        Just("\n"),
        Just("\t"),
        Just("/**/"),
        Just("/* DELETE */"),
        Just("-- '\n"),
        Just("/* /* */ ' */"),
    ];
    prop::collection::vec(piece, 1..4).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_handled_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut end = 0;
        for token in Lexer::new(&bytes) {
            prop_assert!(token.span.start >= end && token.span.end > token.span.start && token.span.end <= bytes.len());
            end = token.span.end;
        }
        classify(&bytes);
        fingerprint::scan(KEY, &bytes);
    }

    #[test]
    fn any_text_is_handled_without_a_panic(text in "\\PC{0,200}") {
        classify(text.as_bytes());
    }

    #[test]
    fn lexer_agrees_with_sqlparser(text in sql_pieces()) {
        let is_valid = Lexer::new(text.as_bytes()).all(|token| token.kind != TokenKind::Invalid);
        if let (true, Some(expected)) = (is_valid, sqlparser_token_starts(&text)) {
            prop_assert_eq!(token_starts(&text), expected, "{}", text);
        }
    }

    /// The canonical text has the fingerprint of the original, and is its own canonical text.
    #[test]
    fn canonical_text_keeps_its_fingerprint(text in sql_pieces()) {
        let canonical = fingerprint::canonical_text(text.as_bytes());
        if Lexer::new(text.as_bytes()).all(|token| token.kind != TokenKind::Invalid) {
            prop_assert_eq!(fingerprint::fingerprint_of(KEY, canonical.as_bytes()), fingerprint::fingerprint_of(KEY, text.as_bytes()), "{}", canonical);
            prop_assert_eq!(fingerprint::canonical_text(canonical.as_bytes()), canonical);
        }
    }

    #[test]
    fn a_write_embedded_in_a_read_is_never_classified_as_a_read(
        (read_at, write_at) in (0..READS.len(), 0..WRITES.len()),
        gaps in prop::collection::vec(white_space(), 8),
        upper in any::<bool>(),
    ) {
        let combined = READS[read_at].replace("{}", WRITES[write_at]);
        // Replaces each space by any white space. None of these texts has a space within quotes.
        let mut gaps = gaps.iter().cycle();
        let text: Vec<String> = combined.split(' ').flat_map(|part| [part.to_string(), gaps.next().cloned().unwrap_or_default()]).collect();
        let text = text.concat();
        let text = if upper { text.replace("nextval(", "NextVal(").replace("select", "SELECT") } else { text };
        prop_assert_ne!(classify(text.as_bytes()).kind, StatementKind::Read, "{}", text);
        prop_assert_ne!(classify_by_prescan(text.as_bytes(), &prescan(text.as_bytes())).kind, StatementKind::Read, "{}", text);
        // The text without the write is classified as a read, so the write alone makes the difference.
        let read = READS[read_at].replace("{}", "1");
        prop_assert_eq!(classify(read.as_bytes()).kind, StatementKind::Read);
    }
}
