//! Where a field of a text stands: the parser tells the place only of what it can't read, checks need that of any.

/// The line, from 1, of that byte.
pub fn line(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|byte| *byte == b'\n').count()
}

/// A word of the text and where it begins: a name, a bracket, a colon or a value, without comments.
fn words(text: &str) -> Vec<(usize, &str)> {
    let (bytes, mut at, mut words) = (text.as_bytes(), 0, Vec::new());
    while at < bytes.len() {
        let from = at;
        match bytes[at] {
            b'#' => at += bytes[at..].iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len() - at),
            quote @ (b'"' | b'\'') => {
                at += 1;
                while at < bytes.len() && bytes[at] != quote {
                    at += 1 + usize::from(bytes[at] == b'\\');
                }
                at = (at + 1).min(bytes.len());
                words.push((from, text.get(from..at).unwrap_or("")));
            }
            byte if byte.is_ascii_alphanumeric() || b"_.-+".contains(&byte) => {
                let word = |byte: &u8| byte.is_ascii_alphanumeric() || b"_.-+".contains(byte);
                at += bytes[at..].iter().take_while(|byte| word(byte)).count();
                words.push((from, &text[from..at]));
            }
            byte => {
                at += 1;
                if b"{}<>:[],;".contains(&byte) {
                    words.push((from, &text[from..at]));
                }
            }
        }
    }
    words
}

/// Each field of the text: its place, and its path with a number for each repetition, `budget[1].whole`.
fn fields(text: &str) -> Vec<(usize, String)> {
    let words = words(text);
    let (mut path, mut found): (Vec<String>, _) = (Vec::new(), Vec::<(usize, String)>::new());
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for (index, (at, word)) in words.iter().enumerate() {
        let next = words.get(index + 1).map_or("", |next| next.1);
        let before = index.checked_sub(1).map_or("", |before| words[before].1);
        let named = word.starts_with(|c: char| c.is_ascii_alphabetic()) && !matches!(before, ":" | "[" | ",");
        if *word == "}" || *word == ">" {
            path.pop();
        } else if named && matches!(next, ":" | "{" | "<") {
            let plain = path.iter().map(|part| format!("{part}.")).collect::<String>() + word;
            let count = counts.entry(plain.clone()).or_default();
            let numbered = format!("{plain}[{count}]");
            *count += 1;
            found.push((*at, numbered.clone()));
            let opens = next != ":" || words.get(index + 2).is_some_and(|word| matches!(word.1, "{" | "<"));
            if opens {
                let last = numbered.rsplit_once('.').map_or(numbered.as_str(), |(_, last)| last);
                path.push(last.to_string());
            }
        }
    }
    found
}

/// Strips the number of what stands there once.
fn tidy(path: &str, all: &[(usize, String)]) -> String {
    let again = |path: &str| {
        let stem = path.rsplit_once('[').map_or(path, |(stem, _)| stem);
        all.iter().any(|(_, other)| *other == format!("{stem}[1]"))
    };
    let mut whole = String::new();
    path.split('.').fold(String::new(), |so_far, part| {
        let full = if so_far.is_empty() { part.to_string() } else { format!("{so_far}.{part}") };
        let shown = if again(&full) { part } else { part.split('[').next().unwrap_or(part) };
        whole += if whole.is_empty() { "" } else { "." };
        whole += shown;
        full
    });
    whole
}

/// The path of the last field that begins at or before that byte.
pub fn field(text: &str, at: usize) -> String {
    let all = fields(text);
    let last = all.iter().rev().find(|(begins, _)| *begins <= at);
    last.map_or_else(|| "file".to_string(), |(_, path)| tidy(path, &all))
}

/// The line of a field by its path, `budget[1].whole`; of what it stands in where it is left out.
pub fn line_of(text: &str, path: &str) -> usize {
    let all = fields(text);
    let whole = |path: &str| {
        let numbered = path
            .split('.')
            .map(|part| if part.ends_with(']') { part.to_string() } else { format!("{part}[0]") });
        numbered.collect::<Vec<_>>().join(".")
    };
    let mut path = path;
    loop {
        if let Some((at, _)) = all.iter().find(|(_, other)| *other == whole(path)) {
            return line(text, *at);
        }
        match path.rsplit_once('.') {
            Some((outer, _)) => path = outer,
            None => return 1,
        }
    }
}
