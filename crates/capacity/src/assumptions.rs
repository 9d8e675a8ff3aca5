//! What the operators leave open and the calculation needs: each with its value and the reason for it.

/// One assumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assumption {
    /// Load of the proxy in question over the mean of all proxies.
    LoadOverMean,
    /// Exponent of the Zipf distribution of statements over sets.
    Skew,
    /// Seconds that a db host works on a statement, in the mean.
    MeanWork,
    /// Db hosts of a set, its primary included.
    HostsPerSet,
    /// Configuration changes of one burst, which all have to be in force in the time that one has.
    BurstChanges,
    /// Changes of the list that one db host's failure or restart brings.
    ChangesPerEvent,
    /// Proxies and db hosts together that share a rack or a switch.
    RackMachines,
    /// The share of all proxies that a release restarts at once.
    WaveShare,
    /// Seconds in which all that was cut off or restarted at once comes back.
    ReturnSeconds,
    /// Seconds that an unused connection to a db host is kept.
    RestSeconds,
    /// Seconds between two calls for a proxy's figures.
    ScrapeSeconds,
    /// Cores of a control machine.
    ControlCores,
}

/// All assumptions, in the order of the page.
pub const ALL: [Assumption; 12] = [
    Assumption::LoadOverMean,
    Assumption::Skew,
    Assumption::MeanWork,
    Assumption::HostsPerSet,
    Assumption::BurstChanges,
    Assumption::ChangesPerEvent,
    Assumption::RackMachines,
    Assumption::WaveShare,
    Assumption::ReturnSeconds,
    Assumption::RestSeconds,
    Assumption::ScrapeSeconds,
    Assumption::ControlCores,
];

impl Assumption {
    /// Its name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Assumption::LoadOverMean => "load over the mean",
            Assumption::Skew => "traffic skew",
            Assumption::MeanWork => "mean work",
            Assumption::HostsPerSet => "db hosts a set",
            Assumption::BurstChanges => "changes in a burst",
            Assumption::ChangesPerEvent => "changes an event",
            Assumption::RackMachines => "machines of a rack",
            Assumption::WaveShare => "wave of a release",
            Assumption::ReturnSeconds => "time of a return",
            Assumption::RestSeconds => "rest of a connection",
            Assumption::ScrapeSeconds => "calls for figures",
            Assumption::ControlCores => "cores of a control machine",
        }
    }

    /// Its unit.
    pub fn unit(self) -> &'static str {
        match self {
            Assumption::LoadOverMean => "a proxy's load over the mean of all",
            Assumption::Skew => "exponent of a Zipf distribution over sets",
            Assumption::MeanWork => "s a statement at its db host",
            Assumption::HostsPerSet => "db hosts, the primary included",
            Assumption::BurstChanges => "configuration changes at once",
            Assumption::ChangesPerEvent => "changes of the list for a failure or restart of a db host",
            Assumption::RackMachines => "proxies and db hosts, in proportion",
            Assumption::WaveShare => "of all proxies at once",
            Assumption::ReturnSeconds => "s",
            Assumption::RestSeconds => "s that an unused connection to a db host is kept",
            Assumption::ScrapeSeconds => "s from one to the next",
            Assumption::ControlCores => "cores",
        }
    }

    /// The value that the page calculates with, in [`Assumption::unit`].
    pub fn stated(self) -> f64 {
        match self {
            Assumption::LoadOverMean => 1.0,
            Assumption::Skew => 0.5,
            Assumption::MeanWork => 0.1,
            Assumption::HostsPerSet => 3.5,
            Assumption::BurstChanges => 500.0,
            Assumption::ChangesPerEvent => 2.0,
            Assumption::RackMachines => 40.0,
            Assumption::WaveShare => 0.05,
            Assumption::ReturnSeconds => 10.0,
            Assumption::RestSeconds => 18.0,
            Assumption::ScrapeSeconds => 15.0,
            Assumption::ControlCores => 8.0,
        }
    }

    /// Why this value.
    pub fn reason(self) -> &'static str {
        match self {
            Assumption::LoadOverMean => "clients spread evenly over proxies; no figure is stated",
            Assumption::Skew => "no figure is stated; 0 is even, 1 the usual model of very uneven demand",
            Assumption::MeanWork => "stated as an example, no distribution with it",
            Assumption::HostsPerSet => "sets of 3 to 4, as for placement; about 1,900 sets",
            Assumption::BurstChanges => "a twelfth of a day's changes at once; no figure is stated",
            Assumption::ChangesPerEvent => "one when it leaves, one when it or its replacement is back",
            Assumption::RackMachines => "a usual rack; no figure is stated",
            Assumption::WaveShare => "twenty waves; no figure is stated",
            Assumption::ReturnSeconds => "as long as a change may take to be in force",
            Assumption::RestSeconds => "60% of `connIdle`, where that is 30 s as by default",
            Assumption::ScrapeSeconds => "the usual interval of a collector",
            Assumption::ControlCores => "the machines are not described",
        }
    }
}

/// A value for each assumption.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assumptions([f64; ALL.len()]);

impl Assumptions {
    /// The stated values.
    pub fn stated() -> Self {
        Assumptions(ALL.map(Assumption::stated))
    }

    /// The value of `which`, in its unit.
    pub fn value(&self, which: Assumption) -> f64 {
        self.0[which as usize]
    }

    /// The same, with the value of `which` multiplied by `factor`.
    pub fn scaled(mut self, which: Assumption, factor: f64) -> Self {
        self.0[which as usize] *= factor;
        self
    }
}

/// The share that the most used of `count` things has, where use follows a Zipf distribution of this exponent.
pub fn hottest_share(count: f64, exponent: f64) -> f64 {
    let weights = (1..=count.round().max(1.0) as u64).map(|rank| (rank as f64).powf(-exponent));
    1.0 / weights.sum::<f64>()
}
