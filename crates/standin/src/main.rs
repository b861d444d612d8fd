//! Runs one stand-in as a process of its own.

use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use lynxcleat_standin::{PlatformStandin, TargetOptions, TargetStandin};

/// Stand-ins for the platform and for targets. For tests only.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// The platform: table, object store and host list
    #[bpaf(command)]
    Platform {
        /// Address to serve on
        #[bpaf(argument("IP:PORT"))]
        listen: String,
    },
    /// A target
    #[bpaf(command)]
    Target {
        /// Address to serve on
        #[bpaf(argument("IP:PORT"))]
        listen: String,
        /// Address of the control port
        #[bpaf(argument("IP:PORT"))]
        control: String,
        /// Calls served at once
        #[bpaf(argument("N"), fallback(12), display_fallback)]
        slots: usize,
        /// Service time of a call in microseconds
        #[bpaf(argument("US"), fallback(5000), display_fallback)]
        service_us: u64,
    },
}

fn main() -> anyhow::Result<()> {
    match command().run() {
        Command::Platform { listen } => {
            let standin = PlatformStandin::start(&listen)?;
            println!("platform {}", standin.url());
            park(standin)
        }
        Command::Target {
            listen,
            control,
            slots,
            service_us,
        } => {
            let standin = TargetStandin::start(&TargetOptions {
                name: listen.clone(),
                address: listen,
                control,
                slots,
                service: Duration::from_micros(service_us),
            })?;
            println!("target {} control {}", standin.address(), standin.control());
            park(standin)
        }
    }
}

/// Keeps a stand-in running until the process is ended.
fn park<T>(_standin: T) -> ! {
    loop {
        thread::park();
    }
}
