//! A record, a size and assumptions together: the factors that the rows of the page are made of.

use crate::assumptions::{hottest_share, Assumption, Assumptions};
use crate::design::{Allowances, Design, DAY_SECONDS};
use crate::formula::Factor;
use crate::record::{names, Record};
use crate::resting::{Pool, Use};
use crate::units::Unit;

/// What the page is calculated from.
#[derive(Clone, Copy, Debug)]
pub struct Model<'a> {
    /// The measured run.
    pub record: &'a Record,
    /// The size.
    pub design: Design,
    /// What may be spent.
    pub allowed: Allowances,
    /// What the operators leave open.
    pub assumptions: Assumptions,
}

impl<'a> Model<'a> {
    /// The stated size, allowances and assumptions, with the lines of `record`.
    pub fn stated(record: &'a Record) -> Self {
        Model {
            record,
            design: Design::STATED,
            allowed: Allowances::STATED,
            assumptions: Assumptions::stated(),
        }
    }

    /// The same with one assumption multiplied by `factor`.
    pub fn scaled(&self, which: Assumption, factor: f64) -> Self {
        Model { assumptions: self.assumptions.scaled(which, factor), ..*self }
    }

    /// The value of an assumption, in its unit.
    pub fn assumed(&self, which: Assumption) -> f64 {
        self.assumptions.value(which)
    }

    /// What the series `name` gives at `x`, in `unit`: the value of the further size where that is `x`, as measured; else
    /// what the line gives there. Below 0 either is noise and counts as not measured.
    pub fn line_at(&self, name: &'static str, x: f64, unit: Unit) -> Factor {
        let Some(series) = self.record.series(name) else { return Factor::Missing { name } };
        let further = series.check.measured;
        let is_measured = further.x == x;
        let value = if is_measured { further.y } else { series.line.at(x) };
        if value < 0.0 {
            return Factor::Missing { name };
        }
        let how = if is_measured { "measured at" } else { "by the line at" };
        let text = format!("{} {how} {} {}", unit.show(value), Unit::Count.show(x), series.x_unit);
        Factor::Measured { name, value, text, confirmed: is_measured || series.check.holds() }
    }

    /// What the line `name` gives at the value of the figure `at`, in `unit`.
    pub fn line_at_figure(&self, name: &'static str, at: &'static str, unit: Unit) -> Factor {
        match self.record.figure(at) {
            Some(figure) => self.line_at(name, figure.value, unit),
            None => Factor::Missing { name: at },
        }
    }

    /// The slope of the line `name`, in `unit` for each x. Below 0 it is noise and counts as not measured: no cost here
    /// falls as its size grows.
    pub fn slope(&self, name: &'static str, unit: Unit) -> Factor {
        let Some(series) = self.record.series(name) else { return Factor::Missing { name } };
        let value = series.line.slope;
        if value < 0.0 {
            return Factor::Missing { name };
        }
        let text = format!("{} each (by {})", unit.show(value), series.x_unit);
        Factor::Measured { name, value, text, confirmed: series.check.holds() }
    }

    /// The figure `name`, in `unit`.
    pub fn figure(&self, name: &'static str, unit: Unit) -> Factor {
        let Some(figure) = self.record.figure(name) else { return Factor::Missing { name } };
        Factor::Measured { name, value: figure.value, text: unit.show(figure.value), confirmed: true }
    }

    /// One over the figure `name`, which is in `unit`. A figure that is not above 0 is noise and counts as not measured.
    pub fn over_figure(&self, name: &'static str, unit: Unit) -> Factor {
        let Some(figure) = self.record.figure(name).filter(|figure| figure.value > 0.0) else {
            return Factor::Missing { name };
        };
        let text = format!("1/({})", unit.show(figure.value));
        Factor::Measured { name, value: 1.0 / figure.value, text, confirmed: true }
    }

    /// Processor time of a real proxy for one change of the list: what a hollow one spends, over its share of a real one's.
    pub fn change_cpu(&self) -> [Factor; 2] {
        [
            self.slope(names::CHANGE_CPU_BY_CHANGES, Unit::Seconds),
            self.over_figure(names::HOLLOW_CPU_SHARE, Unit::Share),
        ]
    }

    /// Processor time of a real proxy for a whole list, by the series `name` of hollow ones.
    pub fn list_cpu(&self, name: &'static str) -> [Factor; 2] {
        [
            self.line_at(name, self.design.hosts, Unit::Seconds),
            self.over_figure(names::HOLLOW_LIST_CPU_SHARE, Unit::Share),
        ]
    }

    /// Client connections of the proxy in question.
    pub fn clients_of_proxy(&self) -> f64 {
        self.design.clients / self.design.proxies * self.assumed(Assumption::LoadOverMean)
    }

    /// Statements a second of a proxy, in the mean of all.
    pub fn mean_statements(&self) -> f64 {
        self.design.statements / self.design.proxies
    }

    /// Statements a second of the proxy in question.
    pub fn statements_of_proxy(&self) -> f64 {
        self.mean_statements() * self.assumed(Assumption::LoadOverMean)
    }

    /// Statements a second of a db host, in the mean.
    pub fn statements_of_host(&self) -> f64 {
        self.design.statements / self.design.hosts
    }

    /// Sets of db hosts.
    pub fn sets(&self) -> f64 {
        self.design.hosts / self.assumed(Assumption::HostsPerSet)
    }

    /// The share of all statements that the most used set has.
    pub fn hottest_set(&self) -> f64 {
        hottest_share(self.sets(), self.assumed(Assumption::Skew))
    }

    /// How connections to db hosts are used.
    fn connection_use(&self) -> Use {
        Use { work: self.assumed(Assumption::MeanWork), rest: self.assumed(Assumption::RestSeconds) }
    }

    /// What a proxy of `rate` statements a second holds and opens to all db hosts, by the model of resting connections.
    pub fn pool_of_proxy(&self, rate: f64) -> Pool {
        Pool::of_sets(
            rate,
            self.sets(),
            self.assumed(Assumption::HostsPerSet),
            self.assumed(Assumption::Skew),
            self.connection_use(),
        )
    }

    /// What a mean proxy holds and opens to one db host of the most used set, by the model of resting connections.
    pub fn pool_of_hottest_host(&self) -> Pool {
        let rate = self.mean_statements() * self.hottest_set() / self.assumed(Assumption::HostsPerSet);
        Pool::of_host(rate, self.connection_use())
    }

    /// Db hosts of a zone.
    pub fn hosts_of_zone(&self) -> f64 {
        self.design.hosts / self.design.zones
    }

    /// Proxies of a zone.
    pub fn proxies_of_zone(&self) -> f64 {
        self.design.proxies / self.design.zones
    }

    /// Proxies of a region.
    pub fn proxies_of_region(&self) -> f64 {
        self.design.proxies / self.design.regions
    }

    /// Db hosts of a rack.
    pub fn hosts_of_rack(&self) -> f64 {
        self.assumed(Assumption::RackMachines) * self.design.host_share()
    }

    /// Changes of the list where a rack goes: its db hosts, and a new primary for each set that had its primary there.
    pub fn changes_of_rack(&self) -> f64 {
        self.hosts_of_rack() * (1.0 + 1.0 / self.assumed(Assumption::HostsPerSet))
    }

    /// The same where a zone goes.
    pub fn changes_of_zone(&self) -> f64 {
        self.hosts_of_zone() * (1.0 + 1.0 / self.assumed(Assumption::HostsPerSet))
    }

    /// Proxies of a rack.
    pub fn proxies_of_rack(&self) -> f64 {
        self.assumed(Assumption::RackMachines) * (1.0 - self.design.host_share())
    }

    /// Proxies that a release restarts at once.
    pub fn proxies_of_wave(&self) -> f64 {
        self.design.proxies * self.assumed(Assumption::WaveShare)
    }

    /// Changes of the list on an ordinary day that db hosts' failures and restarts bring.
    pub fn machine_changes_of_day(&self) -> f64 {
        let events = self.design.failures + self.design.restarts;
        events * self.design.host_share() * self.assumed(Assumption::ChangesPerEvent)
    }

    /// Proxies that fail, are restarted or replaced on an ordinary day.
    pub fn proxy_restarts_of_day(&self) -> f64 {
        (self.design.failures + self.design.restarts) * (1.0 - self.design.host_share())
    }

    /// All changes of an ordinary day: of the configuration, of primaries, of machines.
    pub fn changes_of_day(&self) -> f64 {
        self.design.configuration_changes + self.design.primary_changes + self.machine_changes_of_day()
    }

    /// Changes a second in the mean of an ordinary day.
    pub fn change_rate(&self) -> f64 {
        self.changes_of_day() / DAY_SECONDS
    }

    /// Changes of an hour in the mean of an ordinary day.
    pub fn changes_of_hour(&self) -> f64 {
        self.changes_of_day() / 24.0
    }

    /// Cores of all control machines.
    pub fn control_cores(&self) -> f64 {
        self.design.control_machines * self.assumed(Assumption::ControlCores)
    }
}
