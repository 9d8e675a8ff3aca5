//! The size that is designed for, and what may be spent there: as the operators state them.

/// Seconds of a day.
pub const DAY_SECONDS: f64 = 86_400.0;

/// The size that is designed for. Everything in it is stated by the operators; what they leave open is in
/// [`crate::assumptions`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Design {
    /// Proxies in all regions.
    pub proxies: f64,
    /// Db hosts in all regions.
    pub hosts: f64,
    /// Client connections in all.
    pub clients: f64,
    /// Statements a second in all.
    pub statements: f64,
    /// Primary changes a day.
    pub primary_changes: f64,
    /// Regions.
    pub regions: f64,
    /// Zones in all regions.
    pub zones: f64,
    /// Configuration changes a day.
    pub configuration_changes: f64,
    /// Machines, proxies and db hosts alike, that fail on an ordinary day.
    pub failures: f64,
    /// Machines, proxies and db hosts alike, that are restarted or replaced on an ordinary day.
    pub restarts: f64,
    /// Machines that are set aside for control.
    pub control_machines: f64,
}

impl Design {
    /// The size that the operators state.
    pub const STATED: Design = Design {
        proxies: 3_400.0,
        hosts: 6_700.0,
        clients: 19e6,
        statements: 2e6,
        primary_changes: 16.0,
        regions: 7.0,
        zones: 16.0,
        configuration_changes: 6_300.0,
        failures: 39.0,
        restarts: 1_500.0,
        control_machines: 16.0,
    };

    /// Proxies and db hosts together.
    pub fn machines(&self) -> f64 {
        self.proxies + self.hosts
    }

    /// The share of `machines` that are db hosts, where both kinds are hit in proportion to their number.
    pub fn host_share(&self) -> f64 {
        self.hosts / self.machines()
    }
}

/// What may be spent at the size that is designed for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowances {
    /// Processor time a second that a proxy may spend on control: a share of one core.
    pub control_cores: f64,
    /// Bytes of memory that a proxy may hold for control.
    pub control_memory: f64,
    /// Bytes a second that a proxy may be sent for control.
    pub control_bytes: f64,
    /// Seconds until a configuration change is in force everywhere.
    pub change_seconds: f64,
    /// Seconds until a primary change is over.
    pub primary_seconds: f64,
    /// Connections at a db host, all proxies together: the aim of placement.
    pub host_connections: f64,
    /// A proxy's connections to db hosts and other proxies: the aim of placement.
    pub proxy_connections: f64,
    /// New connections to db hosts as a share of statements: the aim of placement.
    pub new_connections_share: f64,
    /// The largest load of a proxy over the mean of its group: the aim of placement.
    pub load_over_mean: f64,
    /// Bytes of the longest list that a proxy takes: the limit of the program.
    pub list_bytes: f64,
}

impl Allowances {
    /// What the operators state, the aims of placement, and the program's own limit on a list.
    pub const STATED: Allowances = Allowances {
        control_cores: 0.036,
        control_memory: 256e6,
        control_bytes: 16e3,
        change_seconds: 10.0,
        primary_seconds: 7.0,
        host_connections: 128.0,
        proxy_connections: 512.0,
        new_connections_share: 0.01,
        load_over_mean: 1.25,
        list_bytes: 2.0 * 1024.0 * 1024.0,
    };
}
