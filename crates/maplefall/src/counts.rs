//! `maplefall counts`: fetches the status of shared counts from a running gateway, over the
//! protocol of shared counts and with its cluster's key, and decodes datagrams.

use crate::net::counts_settings::{self, CountsSettings};
use maplefall_shared_counts::status::Status;
use maplefall_shared_counts::wire::{self, Head, Kind, Seal, Section, Writer, MAX_DATAGRAM_BYTES};
use maplefall_shared_counts::{DoorId, Life};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a response is awaited before the request is sent again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of requests for one response.
const MAX_ATTEMPTS: u32 = 5;
/// Maximum number of chunks of a status.
const MAX_STATUS_CHUNKS: u32 = 1024;

/// The subcommands of `maplefall counts`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// The members, the age of each one's counts, and the rejected datagrams
    Members(Target),
    /// The customers with the highest usage, over all gateways and the epochs that are kept
    Customers(Target),
    /// The whole status
    Status(Target),
    /// Decodes a datagram that was made with the file's key
    Dump {
        /// The settings file of shared counts
        #[arg(long)]
        file: PathBuf,
        /// The datagram in hexadecimal digits
        datagram: String,
    },
}

/// The gateway to query.
#[derive(clap::Args)]
pub struct Target {
    /// The settings file that the gateway was started with: for its cluster and key
    #[arg(long)]
    file: PathBuf,
    /// The gateway's address, if it is not the file's `gossip`
    #[arg(long = "ask", value_name = "ASK")]
    address: Option<SocketAddr>,
    /// Print one line of JSON
    #[arg(long)]
    json: bool,
}

/// Runs a command.
///
/// # Errors
/// One line: the setting that cannot be used, or that there is no response.
pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Members(target) => show_status(&target, |status| {
            status.customers.clear();
        }),
        Command::Customers(target) => show_status(&target, |status| {
            status.members.clear();
            status.rejected.clear();
        }),
        Command::Status(target) => show_status(&target, |_| {}),
        Command::Dump { file, datagram } => dump_datagram(&file, &datagram),
    }
}

fn read_settings(file: &Path) -> Result<CountsSettings, String> {
    counts_settings::read(file).map_err(|found| found.join("\n"))
}

fn show_status(target: &Target, select: impl Fn(&mut Status)) -> Result<(), String> {
    let settings = read_settings(&target.file)?;
    let to = target.address.unwrap_or(settings.listen);
    let text = fetch_status(&settings, to)?;
    let mut status: Status = serde_json::from_str(&text)
        .map_err(|error| format!("{to}: its status cannot be read: {error}"))?;
    select(&mut status);
    if target.json {
        println!("{}", status.json());
    } else {
        print!("{}", status.plain());
    }
    Ok(())
}

/// The client's side of one exchange with a running gateway.
struct StatusClient {
    socket: UdpSocket,
    to: SocketAddr,
    seal: Seal,
    incarnation: Life,
    nonce: u64,
    last_number: u64,
}

impl StatusClient {
    fn send(&mut self, kind: Kind, echo: u64, section: Option<Section>) -> Result<(), String> {
        self.last_number += 1;
        let head = Head {
            kind,
            from: self.incarnation,
            number: self.last_number,
            nonce: self.nonce,
            echo,
        };
        let mut writer = Writer::new(&self.seal, &head, MAX_DATAGRAM_BYTES);
        if let Some(section) = section {
            writer.add(&section);
        }
        let bytes = writer.seal(&self.seal);
        self.socket
            .send_to(&bytes, self.to)
            .map_err(|error| format!("{}: {error}", self.to))?;
        Ok(())
    }

    /// Receives the next datagram of a kind that belongs to this exchange; `None` at the timeout.
    fn receive(&self, kind: Kind) -> Option<(Head, Vec<Section>)> {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        while Instant::now() < until {
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else {
                continue;
            };
            let Ok((head, sections)) = wire::read(&self.seal, &bytes[..length]) else {
                continue;
            };
            if head.kind == kind && head.echo == self.nonce {
                return Some((head, sections));
            }
        }
        None
    }

    /// Repeats an attempt until it has a result, at most [`MAX_ATTEMPTS`] times.
    fn retry<T>(
        &mut self,
        mut attempt: impl FnMut(&mut Self) -> Result<Option<T>, String>,
    ) -> Result<T, String> {
        for _ in 0..MAX_ATTEMPTS {
            if let Some(result) = attempt(self)? {
                return Ok(result);
            }
        }
        Err(format!(
            "{}: no answer; is this the address of a gateway with this cluster and key?",
            self.to
        ))
    }
}

/// Fetches the status of a gateway, as JSON text.
fn fetch_status(settings: &CountsSettings, to: SocketAddr) -> Result<String, String> {
    let local_address: SocketAddr = if to.is_ipv4() {
        ([0, 0, 0, 0], 0).into()
    } else {
        ([0u16; 8], 0).into()
    };
    let socket_error = |error: std::io::Error| format!("cannot open a socket: {error}");
    let socket = UdpSocket::bind(local_address).map_err(socket_error)?;
    socket
        .set_read_timeout(Some(RESPONSE_TIMEOUT / 4))
        .map_err(socket_error)?;
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let id = DoorId::of(&format!("operator of {:?}", socket.local_addr().ok()));
    let mut client = StatusClient {
        socket,
        to,
        seal: Seal::new(&settings.sharing.cluster, &settings.sharing.key),
        incarnation: Life {
            door: id,
            incarnation: (since.as_millis() as u64).max(1),
        },
        nonce: (since.as_nanos() as u64) | 1,
        last_number: 0,
    };
    let echo = client.retry(|client| {
        client.send(Kind::Hello, 0, None)?;
        Ok(client.receive(Kind::Hello).map(|(head, _)| head.nonce))
    })?;
    let (mut text, mut index, mut total_chunks) = (Vec::new(), 0, 1);
    while index < total_chunks {
        let (total, chunk) = client.retry(|client| {
            client.send(Kind::Ask, echo, Some(Section::StatusPart(index)))?;
            let sections = client.receive(Kind::Told).map(|(_, sections)| sections);
            Ok(sections
                .into_iter()
                .flatten()
                .find_map(|section| match section {
                    Section::StatusText(parts, text) => Some((parts, text)),
                    _ => None,
                }))
        })?;
        if total > MAX_STATUS_CHUNKS {
            return Err(format!(
                "{to}: the status has {total} chunks, at most {MAX_STATUS_CHUNKS} were expected"
            ));
        }
        text.extend(chunk);
        (index, total_chunks) = (index + 1, total);
    }
    String::from_utf8(text).map_err(|_| format!("{to}: its status is not UTF-8"))
}

fn dump_datagram(file: &Path, datagram: &str) -> Result<(), String> {
    let settings = read_settings(file)?;
    let digits: Option<Vec<u32>> = datagram
        .trim()
        .chars()
        .map(|digit| digit.to_digit(16))
        .collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0);
    let digits = digits.ok_or("the datagram: an even number of hexadecimal digits was expected")?;
    let bytes: Vec<u8> = digits
        .chunks(2)
        .map(|pair| (pair[0] << 4 | pair[1]) as u8)
        .collect();
    let seal = Seal::new(&settings.sharing.cluster, &settings.sharing.key);
    let (head, sections) =
        wire::read(&seal, &bytes).map_err(|why| format!("the datagram is rejected: {why:?}"))?;
    println!("{head:?}");
    for section in sections {
        match section {
            Section::Members(cards) => cards.iter().for_each(|card| println!("card {card:?}")),
            Section::Digest(lines) => lines.iter().for_each(|line| println!("digest {line:?}")),
            Section::Want(lines) => lines.iter().for_each(|line| println!("want {line:?}")),
            Section::Counts(life, delta) => {
                println!(
                    "counts of {life:?} after {} up to {}",
                    delta.after, delta.up_to
                );
                delta
                    .counts
                    .iter()
                    .for_each(|count| println!("  {count:?}"));
            }
            Section::StatusText(parts, text) => {
                println!("text, {} bytes, of {parts} parts", text.len())
            }
            Section::StatusPart(part) => println!("part {part}"),
        }
    }
    Ok(())
}
