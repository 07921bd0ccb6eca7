//! `serve` starts a toy store of three hosts and its discovery on loopback; `ask` sends one statement to a router.

use std::io::{self, BufRead};
use std::process::ExitCode;

use ottersill_lab::store::{Client, Conduct, Toy, unix_ms};

const ROUTER: &str = "127.0.0.1:7400";
const DISCOVERY: &str = "127.0.0.1:7500";
const HOSTS: [&str; 3] = ["127.0.0.1:7601", "127.0.0.1:7602", "127.0.0.1:7603"];

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let done = match words[..] {
        ["serve"] => serve(),
        ["ask", "get", key] => ask(&format!("SELECT content FROM kv WHERE name = '{key}'"), "get"),
        ["ask", "put", key, value] => {
            let hex: String = value.bytes().map(|byte| format!("{byte:02x}")).collect();
            let insert =
                format!("INSERT INTO kv (name, content) VALUES ('{key}', '\\x{hex}') RETURNING content");
            ask(&insert, "put")
        }
        _ => Err(io::Error::other("expected: serve | ask get KEY | ask put KEY VALUE")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ottersill-lab: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Until the end of input, each line gives a host another conduct or health: `0 silent`, `2 leaving`.
fn serve() -> io::Result<()> {
    let toy = Toy::default();
    for at in HOSTS {
        println!("host toy-{} at {}", toy.hosts(), toy.host(at)?);
    }
    println!("discovery at {}", toy.discovery(DISCOVERY)?);
    for line in io::stdin().lock().lines() {
        let line = line?;
        let (host, word) = line.trim().split_once(' ').unwrap_or_default();
        let health = ["active", "leaving", "left"].into_iter().find(|known| *known == word);
        match (host.parse().ok().filter(|host| *host < toy.hosts()), Conduct::named(word), health) {
            (Some(host), Some(conduct), _) => toy.set_conduct(host, conduct),
            (Some(host), _, Some(health)) => toy.set_health(host, health),
            _ => println!("expected a host's number and a conduct or a health, found {line:?}"),
        }
    }
    Ok(())
}

fn ask(statement: &str, workload: &str) -> io::Result<()> {
    let mut client = Client::connect(ROUTER.parse().map_err(io::Error::other)?)?;
    client.answer()?;
    let id = unix_ms();
    println!("{}", client.ask(&format!("{statement} /* id={id:x},c={workload},d=2000,cluster=1 */"))?);
    Ok(())
}
