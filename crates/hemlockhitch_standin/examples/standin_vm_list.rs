//! Runs the VM list stand-in in a separate process.

use std::process::ExitCode;

use hemlockhitch_ports::vm_list::Vm;
use hemlockhitch_standin::command_line::{self, CommandLineError};
use hemlockhitch_standin::vm_list::{self, VmListSettings};

#[tokio::main]
async fn main() -> ExitCode {
    command_line::exit_code(run().await)
}

async fn run() -> Result<(), CommandLineError> {
    let mut options = command_line::options();
    options.optmulti(
        "",
        "vm",
        "add a VM to the list; may be repeated",
        "NAME,IP:PORT,DATA-CENTRE",
    );
    options.optopt("", "lag-ms", "delay until changes become visible", "MS");
    options.optopt("", "delay-ms", "delay each request", "MS");
    options.optflag("", "down", "abort every connection");
    let Some(matches) = command_line::parse(&options, std::env::args())? else {
        return Ok(());
    };
    let settings = VmListSettings {
        lag_ms: command_line::value_or_default(&matches, "lag-ms")?,
        delay_ms: command_line::value_or_default(&matches, "delay-ms")?,
        down: matches.opt_present("down"),
    };
    let vms: Result<Vec<Vm>, _> = matches
        .opt_strs("vm")
        .iter()
        .map(|text| parse_vm(text))
        .collect();
    let list = vm_list::start(command_line::address(&matches)?).await?;
    list.set_vms(vms?);
    list.set(settings);
    command_line::serve(list.address()).await
}

fn parse_vm(text: &str) -> Result<Vm, CommandLineError> {
    let parts: Vec<&str> = text.split(',').collect();
    let [name, peer_address, data_centre] = parts[..] else {
        return Err(CommandLineError::Value {
            option: "vm".to_owned(),
            value: text.to_owned(),
            detail: "write NAME,IP:PORT,DATA-CENTRE".to_owned(),
        });
    };
    Ok(Vm {
        name: name.into(),
        peer_address: peer_address.to_owned(),
        data_centre: data_centre.into(),
        leaving: false,
    })
}
