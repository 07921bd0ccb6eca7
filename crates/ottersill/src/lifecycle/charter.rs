//! What a router is told when it starts.

use std::net::SocketAddr;

use ottersill_config::deployment::DeploymentSettings;
use serde::{Deserialize, Deserializer};

use crate::discovery::endpoint_list::EndpointList as List;
use crate::wire::exchange::Berths;

/// Descriptors that are no connection: three standard ones, the loop's four, listener, discovery's two, of which one may
/// be silent; and one to accept with.
const OWN_DESCRIPTORS: usize = 11;
/// For clients that are only told that there is no room: each leaves with that answer, so a few will do.
const SPARE: usize = 8;
/// Bytes for the shapes of statements where memory is plenty: some eight thousand of them.
const LONGEST_BOOK: usize = 4 << 20;

#[derive(Deserialize)]
pub struct Charter {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    #[serde(deserialize_with = "hexadecimal")]
    pub seed: u64,
    pub limits: Limits,
    /// The hosts as this router last had them; may be old.
    #[serde(default)]
    pub known: Option<List>,
    pub settings: DeploymentSettings,
}

impl Charter {
    /// What this charter says that a reload can't take over, by the fields in which the other one differs.
    pub fn differs(&self, other: &Charter) -> Vec<&'static str> {
        let fields = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits", self.limits != other.limits),
            ("settings", self.settings != other.settings),
        ];
        fields.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Limits {
    /// Every client may have one execution out, so clients get half at most, and lines what clients leave. Clients hold
    /// a third for requests, as the service page has it: from a quarter on there must be room to come. A quarter
    /// of the memory is for statements; answers on both sides and the program itself get the rest.
    pub fn berths(&self) -> Result<Berths, String> {
        let all = self.sockets.saturating_sub(OWN_DESCRIPTORS + SPARE);
        if all < 2 {
            let least = OWN_DESCRIPTORS + SPARE + 2;
            return Err(format!("limits.sockets: expected {least} at least, found {}", self.sockets));
        }
        Ok(Berths {
            all,
            clients: all / 2,
            easy: self.sockets / 4,
            spare: SPARE,
            bytes: (self.memory_mb << 20) / 4,
            book: ((self.memory_mb << 20) / 64).min(LONGEST_BOOK),
        })
    }
}

fn hexadecimal<'de, D: Deserializer<'de>>(json: D) -> Result<u64, D::Error> {
    let text = String::deserialize(json)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| serde::de::Error::custom(format!("expected a hexadecimal number, found {text:?}")))
}

/// Reads a charter; the error names the field and the reason.
pub fn read(json: &[u8]) -> Result<Charter, String> {
    let mut json = serde_json::Deserializer::from_slice(json);
    serde_path_to_error::deserialize(&mut json).map_err(|e| format!("{}: {}", e.path(), e.inner()))
}

/// The charter that the environment names.
pub fn find() -> Result<Charter, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let json = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    read(&json).map_err(|fault| format!("NODE_CONFIG: {path}: {fault}"))
}
