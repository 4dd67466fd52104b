//! The client over TLS, against the fake etcd behind a TLS terminator of this test.
//! `cargo test -p maplefall-etcd --features tls --test tls`

use maplefall_etcd::client::{follow, ConnectionConfig, PassThrough};
use maplefall_etcd::{Output, Settings};
use maplefall_etcd_wire::PutRequest;
use maplefall_membership::Event;
use maplefall_test_servers::etcd::store::Store;
use maplefall_test_servers::etcd::Etcd;
use rcgen::{generate_simple_self_signed, CertifiedKey};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_rustls::rustls::pki_types::PrivateKeyDer;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;

/// Returns a self-signed certificate for 127.0.0.1.
fn certificate() -> CertifiedKey<rcgen::KeyPair> {
    generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap()
}

/// Terminates TLS and forwards connections to the member.
async fn terminate_tls(
    listener: TcpListener,
    server: &CertifiedKey<rcgen::KeyPair>,
    member: SocketAddr,
) {
    let key = PrivateKeyDer::Pkcs8(server.signing_key.serialize_der().into());
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap();
    let mut config = config
        .with_no_client_auth()
        .with_single_cert(vec![server.cert.der().clone()], key)
        .unwrap();
    config.alpn_protocols = vec![b"h2".to_vec()];
    let acceptor = TlsAcceptor::from(Arc::new(config));
    while let Ok((stream, _)) = listener.accept().await {
        let acceptor = acceptor.clone();
        tokio::spawn(async move {
            // A client that does not trust the certificate aborts the handshake.
            let Ok(mut outer) = acceptor.accept(stream).await else {
                return;
            };
            let mut inner = TcpStream::connect(member).await.unwrap();
            let _ = tokio::io::copy_bidirectional(&mut outer, &mut inner).await;
        });
    }
}

/// Follows a prefix over TLS, trusting the given authority, until the first snapshot or report.
/// Returns the number of nodes in the snapshot, and the reports.
fn follow_with_authority(
    authority: impl Fn(&CertifiedKey<rcgen::KeyPair>) -> String,
) -> (Option<usize>, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let etcd = Etcd::new(Store::new(1), |_| {});
        let value = br#"{"address":"127.0.0.1:80"}"#.to_vec();
        let put = PutRequest {
            key: b"/p/members/a".to_vec(),
            value,
            ..Default::default()
        };
        etcd.with(|store| store.put(&put).unwrap());
        let member = etcd
            .member(1, std::net::TcpListener::bind("127.0.0.1:0").unwrap())
            .unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoints = vec![format!("https://{}", listener.local_addr().unwrap())];
        let server = certificate();
        let authority = Some(authority(&server).into_bytes());
        let address = member.address;
        tokio::task::spawn_local(async move { terminate_tls(listener, &server, address).await });
        let config = watch::Sender::new(ConnectionConfig {
            endpoints,
            user: None,
            authority,
        });
        let observed: Rc<RefCell<(Option<usize>, Vec<String>)>> = Rc::default();
        let (target, started) = (observed.clone(), Instant::now());
        let on_output = move |output| match output {
            Output::Update(update) => {
                if let Event::Snapshot { members, .. } = update.event {
                    target.borrow_mut().0 = Some(members.hosts.len());
                }
            }
            Output::Report(report) => target.borrow_mut().1.push(report.to_string()),
            Output::Command(_) => {}
        };
        let clock = move || started.elapsed().as_secs_f64() * 1000.0;
        tokio::task::spawn_local(follow(
            Settings::with_defaults(0, 1, "/p"),
            config.subscribe(),
            clock,
            on_output,
            PassThrough,
        ));
        while observed.borrow().0.is_none() && observed.borrow().1.is_empty() {
            assert!(
                started.elapsed() < Duration::from_secs(30),
                "neither a snapshot nor a report"
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        observed.take()
    })
}

#[test]
fn member_with_a_trusted_certificate_is_followed() {
    assert_eq!(follow_with_authority(|server| server.cert.pem()).0, Some(1));
}

#[test]
fn member_with_an_untrusted_certificate_is_refused_and_reported() {
    let (nodes, reports) = follow_with_authority(|_| certificate().cert.pem());
    assert_eq!(nodes, None);
    assert!(
        reports[0].starts_with("endpoint 0: invalid peer certificate"),
        "{reports:?}"
    );
}
