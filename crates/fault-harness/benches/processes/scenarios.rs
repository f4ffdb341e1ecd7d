//! The scenario file of each benchmark scenario.

use std::io;
use std::path::Path;

use crate::run::Run;
use crate::Scenario;

/// Connection limit of a box in scenarios where connections are scarce.
pub const SCARCE_LIMIT: u32 = 120;
/// Connection limit of a box in the other scenarios, the lower end of the operators' range.
const AMPLE_LIMIT: u32 = 1200;
/// Factor by which one tenant raises its rate.
pub const RATE_FACTOR: f64 = 8.0;

/// Sections of the operator file.
struct Sections {
    table: bool,
    /// The connection limit of each box that the file states, if it has a section for budgets.
    budgets: Option<u32>,
}

/// The scenario file of a run. Its contracts file is written to `folder`.
pub fn text(run: &Run, folder: &Path) -> io::Result<String> {
    let Run { scenario, nodes, seed, control_plane_on } = *run;
    let plane = match scenario {
        Scenario::Table => Sections { table: true, budgets: None },
        Scenario::Use | Scenario::Overdrive => Sections { table: false, budgets: Some(SCARCE_LIMIT) },
        Scenario::Restart70 | Scenario::Restart100 => Sections { table: true, budgets: Some(SCARCE_LIMIT) },
        Scenario::Crash | Scenario::Restart100Wide => Sections { table: true, budgets: Some(AMPLE_LIMIT) },
    };
    let fleet = if control_plane_on { fleet(&plane, folder)? } else { String::new() };
    let head = format!("version = 1\nname = \"{}\"\nseed = {seed}\nlength = \"120s\"\n", run.name());
    let list = if scenario == Scenario::Table { "[list]\nspread = \"2s\"\n" } else { "" };
    Ok(format!("{head}{list}[nodes]\ncount = {nodes}\n{fleet}{}", sections(scenario, nodes)))
}

fn fleet(plane: &Sections, folder: &Path) -> io::Result<String> {
    let mut file = "version = 1\nrealm = \"rig\"\n".to_owned();
    if plane.table {
        file += "[table]\nlease = \"2s\"\n";
    }
    if let Some(connection_limit) = plane.budgets {
        let contracts = folder.join("contracts.toml");
        let each = |name: &str| format!("[[tenants]]\nname = \"{name}\"\nshare = 1\n");
        let text =
            format!("version = 1\nrevision = 1\n[others]\nshare = 1\n{}{}", each("north"), each("south"));
        std::fs::write(&contracts, text)?;
        file += &format!("[budgets]\ncontracts = {contracts:?}\nconnections_per_box = {connection_limit}\n");
    }
    Ok(format!("fleet = '''\n{file}'''\n"))
}

fn boxes(count: u16, connections: u32, slots: u32, work_ms: u32, late: bool) -> String {
    format!(
        "[[boxes]]\ncount = {count}\nconnections = {connections}\nslots = {slots}\nwork = \"{work_ms}ms\"\nlate = {late}\n"
    )
}

fn tenant(name: &str, rate: f64, keys: u32) -> String {
    format!(
        "[[tenants]]\nname = \"{name}\"\nrate = {rate:.1}\nquota = 100000.0\nkeys = {keys}\ndeadline = \"1s\"\n"
    )
}

fn sections(scenario: Scenario, nodes: usize) -> String {
    let nodes = nodes as f64;
    match scenario {
        // The same load on each node, whatever their number.
        Scenario::Crash => boxes(4, AMPLE_LIMIT, 16, 2, false) + &tenant("north", 30.0 * nodes, 400),
        // Each node needs many attempts per second that distinguish the tables: half of the keys move.
        Scenario::Table => {
            let rate = (200.0 * nodes).min(1800.0);
            boxes(4, AMPLE_LIMIT, 4, 1, false)
                + &boxes(1, AMPLE_LIMIT, 16, 1, true)
                + &tenant("north", rate, 400)
        }
        // Each command takes 0.4 s: two boxes have a capacity of 600 per second together, and the demand is twice that.
        Scenario::Use => {
            boxes(2, SCARCE_LIMIT, SCARCE_LIMIT, 400, false)
                + &tenant("north", 600.0, 400)
                + &tenant("south", 600.0, 400)
        }
        // Each command takes 0.3 s: the capacity is 800 per second; one tenant demands 200 of its 400, the other 100
        // and then 800.
        Scenario::Overdrive => {
            boxes(2, SCARCE_LIMIT, SCARCE_LIMIT, 300, false)
                + &tenant("north", 200.0, 400)
                + &tenant("south", 100.0, 400)
        }
        // Each command takes 0.2 s: the capacity is 1,200 per second, and the demand is half of that.
        Scenario::Restart70 | Scenario::Restart100 => {
            boxes(2, SCARCE_LIMIT, SCARCE_LIMIT, 200, false)
                + &tenant("north", 350.0, 400)
                + &tenant("south", 250.0, 400)
        }
        Scenario::Restart100Wide => {
            let south = tenant("south", 150.0, 400) + "writes = 0.1\n";
            boxes(4, AMPLE_LIMIT, 16, 2, false) + &tenant("north", 250.0, 400) + &south
        }
    }
}
