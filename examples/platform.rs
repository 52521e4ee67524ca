//! Runs the stand-in platform as a process of its own, to try daemons by hand.
//!
//! The arguments are the address, the data centre, the number of workers and the daemons:
//!
//! `cargo run --example platform -- 127.0.0.1:7000 zg-dubrava 50 NAME=PEER_ADDRESS...`

use fuchsiaslip::standin::{
    Fleet,
    Platform, //
};
use fuchsiaslip::timer::Timer;

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |index: usize, default: &str| {
        let value = arguments.get(index).cloned();
        value.unwrap_or_else(|| default.to_owned())
    };
    let data_centre = argument(1, "zg-dubrava");
    let fleet = Fleet {
        data_centre: data_centre.clone(),
        workers: argument(2, "50").parse().unwrap_or(50),
        rack_size: 6,
        accelerators: 8,
    };
    let timer = Timer::spawn()?;
    let platform = Platform::bind(&argument(0, "127.0.0.1:7000"), timer, &[fleet])?;
    for daemon in arguments.iter().skip(3) {
        if let Some((name, address)) = daemon.split_once('=') {
            platform.add_daemon(name, &data_centre, address);
        }
    }
    println!("platform at {}", platform.address());
    loop {
        std::thread::park();
    }
}
