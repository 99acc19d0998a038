//! Runs the plain service stand-in in a separate process.

use std::error::Error;
use std::future::pending;
use std::io::{Write, stdout};
use std::net::SocketAddr;

use getopts::Options;
use hemlockhitch_standin::plain_service::{self, PlainServiceFault};

fn options() -> Options {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optopt(
            "",
            "listen",
            "address to listen on, default 127.0.0.1:0",
            "IP:PORT",
        )
        .optmulti(
            "",
            "fault",
            "fault to inject at the start; may be repeated",
            "JSON",
        );
    options
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("standin_plain_service [OPTIONS]"));
        return Ok(());
    }
    let listen = matches.opt_str("listen");
    let listen: SocketAddr = listen.as_deref().unwrap_or("127.0.0.1:0").parse()?;
    let service = plain_service::start(listen).await?;
    for fault in matches.opt_strs("fault") {
        let fault: PlainServiceFault = serde_json::from_str(&fault)?;
        service.faults().set(fault);
    }
    println!("listening on {}", service.address());
    stdout().flush()?;
    pending().await
}
