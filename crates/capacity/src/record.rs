//! The record of one run of `gradeshunt-measure capacity`, as it is written to a JSON file.

use serde::{Deserialize, Serialize};

use crate::fit::{FitError, Line, Point};

/// How far a line's prediction may be from what is measured at a further size, as a share of the measured value.
pub const PREDICTION_BOUND: f64 = 0.15;

/// A further size that was not used for the fit, and that the line has to predict.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// What was measured there.
    pub measured: Point,
    /// What the line gives there, in units of y.
    pub predicted: f64,
    /// `|predicted - measured| / |measured|`.
    pub off: f64,
}

impl Check {
    /// Whether the prediction is within [`PREDICTION_BOUND`].
    pub fn holds(&self) -> bool {
        self.off <= PREDICTION_BOUND
    }
}

/// One measured slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Its name, one of [`names`].
    pub name: String,
    /// What x counts, such as "db hosts known".
    pub x_unit: String,
    /// What y counts, such as "bytes".
    pub y_unit: String,
    /// How it was measured, in one sentence.
    pub how: String,
    /// The points of the fit, by rising x.
    pub points: Vec<Point>,
    /// The line through them.
    pub line: Line,
    /// The further size.
    pub check: Check,
}

impl Series {
    /// Fits a line to `points` and compares its prediction with `further`, which is no part of the fit.
    ///
    /// # Errors
    ///
    /// Where no line can be fitted.
    pub fn new(
        name: &str,
        (x_unit, y_unit): (&str, &str),
        how: &str,
        points: Vec<Point>,
        further: Point,
    ) -> Result<Series, FitError> {
        let line = Line::fit(&points)?;
        let predicted = line.at(further.x);
        let off = if further.y == predicted { 0.0 } else { (predicted - further.y).abs() / further.y.abs() };
        // JSON has no infinity: where nothing was measured, any other prediction is as far off as can be.
        let off = off.min(f64::MAX);
        let check = Check { measured: further, predicted, off };
        Ok(Series {
            name: name.to_owned(),
            x_unit: x_unit.to_owned(),
            y_unit: y_unit.to_owned(),
            how: how.to_owned(),
            points,
            line,
            check,
        })
    }
}

/// One measured value that is no slope, such as the time until 1,000 watches are back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name, one of [`names`].
    pub name: String,
    /// The value, in `unit`.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// How it was measured, in one sentence.
    pub how: String,
}

/// A whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The commit of the program that was measured.
    pub program: String,
    /// Whether the run was a `--quick` one, whose figures are no basis for a page.
    pub quick: bool,
    /// Cores of the machine.
    pub cores: usize,
    /// All slopes.
    pub series: Vec<Series>,
    /// All other values.
    pub figures: Vec<Figure>,
}

impl Record {
    /// The series of this name.
    pub fn series(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|s| s.name == name)
    }

    /// The figure of this name.
    pub fn figure(&self, name: &str) -> Option<&Figure> {
        self.figures.iter().find(|f| f.name == name)
    }
}

/// Names of series and figures. All CPU is processor time in seconds, all memory is in bytes.
pub mod names {
    /// A proxy's resident memory, by db hosts known.
    pub const PROXY_MEMORY_BY_HOSTS: &str = "proxy.memory.by_hosts";
    /// A proxy's idle processor time a second, by db hosts known.
    pub const PROXY_IDLE_CPU_BY_HOSTS: &str = "proxy.idle_cpu.by_hosts";
    /// Bytes of a whole list, by db hosts listed.
    pub const LIST_BYTES_BY_HOSTS: &str = "list.bytes.by_hosts";
    /// A proxy's processor time for taking in a whole list, by db hosts listed.
    pub const LIST_CPU_BY_HOSTS: &str = "list.cpu.by_hosts";
    /// Bytes that a proxy is sent for changes of the list, by changes.
    pub const CHANGE_BYTES_BY_CHANGES: &str = "change.bytes.by_changes";
    /// A proxy's processor time for changes of the list, by changes.
    pub const CHANGE_CPU_BY_CHANGES: &str = "change.cpu.by_changes";
    /// Seconds of wall-clock until a change is in force at the last proxy, by proxies.
    pub const CHANGE_DELAY_BY_PROXIES: &str = "change.delay.by_proxies";
    /// Bytes that a proxy is sent at a restart with an old list, by db hosts listed.
    pub const RESTART_BYTES_BY_HOSTS: &str = "restart.bytes.by_hosts";
    /// A proxy's processor time of a restart with an old list, by db hosts listed.
    pub const RESTART_CPU_BY_HOSTS: &str = "restart.cpu.by_hosts";
    /// Discovery's idle processor time a second, by proxies.
    pub const DISCOVERY_IDLE_CPU_BY_PROXIES: &str = "discovery.idle_cpu.by_proxies";
    /// Discovery's memory, by proxies.
    pub const DISCOVERY_MEMORY_BY_PROXIES: &str = "discovery.memory.by_proxies";
    /// Discovery's processor time for one change, by proxies.
    pub const DISCOVERY_CHANGE_CPU_BY_PROXIES: &str = "discovery.change_cpu.by_proxies";
    /// Discovery's processor time while all watches are cut at once and come back, by proxies.
    pub const DISCOVERY_RECONNECT_CPU_BY_PROXIES: &str = "discovery.reconnect_cpu.by_proxies";
    /// Watches that discovery holds, by proxies.
    pub const DISCOVERY_WATCHES_BY_PROXIES: &str = "discovery.watches.by_proxies";
    /// Bytes that a watch without changes brings a proxy in a second: a figure.
    pub const WATCH_IDLE_BYTES: &str = "watch.idle_bytes";
    /// Calls that discovery gets in the worst second after all watches were cut, a proxy: a figure.
    pub const RECONNECT_PEAK_CALLS: &str = "reconnect.peak_calls";
    /// Seconds until all watches are back: a figure.
    pub const RECONNECT_SECONDS: &str = "reconnect.seconds";
    /// Calls in the worst second of a restart of every proxy in waves, a proxy: a figure.
    pub const WAVES_PEAK_CALLS: &str = "waves.peak_calls";
    /// Processor time of a hollow proxy over that of a real one: a figure.
    pub const HOLLOW_CPU_SHARE: &str = "hollow.cpu_share";
    /// Memory of a hollow proxy over that of a real one: a figure.
    pub const HOLLOW_MEMORY_SHARE: &str = "hollow.memory_share";
    /// A proxy's resident memory, by idle client connections.
    pub const PROXY_MEMORY_BY_CLIENTS: &str = "proxy.memory.by_clients";
    /// A proxy's processor time a second, by idle client connections.
    pub const PROXY_IDLE_CPU_BY_CLIENTS: &str = "proxy.idle_cpu.by_clients";
    /// A proxy's processor time a statement, by db hosts that the statements go to.
    pub const STATEMENT_CPU_BY_HOSTS: &str = "statement.cpu.by_hosts";
    /// Connections that a proxy holds to db hosts, by db hosts that the statements go to.
    pub const STATEMENT_CONNECTIONS_BY_HOSTS: &str = "statement.connections.by_hosts";
    /// Connections that a proxy opens a statement, by db hosts that the statements go to.
    pub const STATEMENT_OPENED_BY_HOSTS: &str = "statement.opened.by_hosts";
    /// A proxy's processor time a statement, by connections that it opens a statement.
    pub const STATEMENT_CPU_BY_OPENED: &str = "statement.cpu.by_opened";
    /// Connections that a proxy holds to db hosts, by db hosts that got a statement within the time for which idle
    /// connections are kept.
    pub const STATEMENT_CONNECTIONS_BY_REACHED: &str = "statement.connections.by_reached";
    /// Connections that a db host holds, by proxies.
    pub const HOST_CONNECTIONS_BY_PROXIES: &str = "host.connections.by_proxies";
    /// Probes that a db host gets in a second, by proxies.
    pub const HOST_PROBES_BY_PROXIES: &str = "host.probes.by_proxies";
    /// Connections that a db host is asked for in a second, by proxies.
    pub const HOST_OPENED_BY_PROXIES: &str = "host.opened.by_proxies";
    /// Processor time of a hollow proxy over that of a real one's loop alone, without its log's thread: a figure.
    pub const HOLLOW_LOOP_CPU_SHARE: &str = "hollow.loop_cpu_share";
    /// Processor time of a hollow proxy for a whole list over that of a real one: a figure.
    pub const HOLLOW_LIST_CPU_SHARE: &str = "hollow.list_cpu_share";
    /// Statements a second that each proxy sends to one db host in the measurements by proxies: a figure.
    pub const HOST_STATEMENTS_PER_PROXY: &str = "host.statements_per_proxy";
    /// Statements a second of the proxy in the measurements by db hosts that the statements go to: a figure.
    pub const STATEMENT_RATE: &str = "statement.rate";
    /// Seconds that an unused connection to a db host is kept in those measurements: a figure.
    pub const STATEMENT_REST_SECONDS: &str = "statement.rest_seconds";
    /// Bytes of one answer of a proxy's figures, by db hosts known.
    pub const FIGURES_BYTES_BY_HOSTS: &str = "figures.bytes.by_hosts";
    /// Bytes a second that a proxy writes to its log on an ordinary day: a figure.
    pub const LOG_BYTES: &str = "log.bytes";
    /// Bytes that a proxy writes to its log in the worst second of the loss of a zone: a figure.
    pub const LOG_BYTES_ZONE_LOST: &str = "log.bytes_zone_lost";

    // What the simulation of placement gives. All are figures, at the size that is designed for.

    /// Connections at a db host on the ordinary day, in the mean of all: a figure, in connections.
    pub const PLACEMENT_HOST_CONNECTIONS_MEAN: &str = "placement.host_connections_mean";
    /// Connections at the db host that holds most, on the ordinary day: a figure, in connections.
    pub const PLACEMENT_HOST_CONNECTIONS: &str = "placement.host_connections";
    /// Connections at the db host that holds most, at the worst moment of all events: a figure, in connections.
    pub const PLACEMENT_HOST_CONNECTIONS_WORST: &str = "placement.host_connections_worst";
    /// Connections to db hosts and proxies of the proxy that holds most, on the ordinary day: a figure, in connections.
    pub const PLACEMENT_PROXY_CONNECTIONS: &str = "placement.proxy_connections";
    /// Connections to db hosts and proxies of the proxy that holds most, at the worst moment of all events: a figure,
    /// in connections.
    pub const PLACEMENT_PROXY_CONNECTIONS_WORST: &str = "placement.proxy_connections_worst";
    /// New connections over statements on the ordinary day: a figure, a part of one.
    pub const PLACEMENT_NEW_CONNECTIONS_SHARE: &str = "placement.new_connections_share";
    /// New connections over statements in the worst minute of all events: a figure, a part of one.
    pub const PLACEMENT_NEW_CONNECTIONS_SHARE_WORST: &str = "placement.new_connections_share_worst";
    /// Statements that find no free connection to their db host over all statements: a figure, a part of one.
    pub const PLACEMENT_WAITING_SHARE: &str = "placement.waiting_share";
    /// The largest load of a proxy over the mean of its group: a figure, without a unit.
    pub const PLACEMENT_LOAD_OVER_MEAN: &str = "placement.load_over_mean";
    /// Statements that pass a second proxy over all statements: a figure, a part of one.
    pub const PLACEMENT_FORWARDED_SHARE: &str = "placement.forwarded_share";
    /// Proxies that send to one db host by themselves: a figure, in proxies.
    pub const PLACEMENT_PROXIES_PER_HOST: &str = "placement.proxies_per_host";
}
