//! Description of a deployment, read from an INI file: sizes, load times and mix of requests.

use std::path::Path;
use std::str::FromStr;

use ini::Ini;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ZoneName;

use crate::errors::Error;
use crate::errors::Result;

/// Bytes of a gigabyte in the INI files.
pub const GIGABYTE: u64 = 1_000_000_000;

const CLASS_PREFIX: &str = "class.";

/// Description of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in the results.
    pub name: String,
    /// Names of the availability zones.
    pub zones: Vec<ZoneName>,
    /// Model engines.
    pub engines: EngineTable,
    /// Plain service.
    pub service: ServiceTable,
    /// Limits of the weight store.
    pub store: StoreTable,
    /// Times that loads take.
    pub load_times: LoadTimes,
    /// Models and adapters.
    pub models: ModelTable,
    /// Patterns by which models are called.
    pub activity: ActivityTable,
    /// Request classes, ordered by target, the tightest first.
    pub classes: Vec<ClassTable>,
}

/// Description of the model engines, which are all alike.
#[derive(Clone, Debug)]
pub struct EngineTable {
    /// Name of their group.
    pub group: GroupName,
    /// Number of engines.
    pub count: usize,
    /// Accelerator memory of one engine, in bytes.
    pub capacity_bytes: u64,
    /// Number of slots in the batch of one engine.
    pub slots: u32,
    /// Size of the checkpoint cache in the memory of one host, in bytes.
    pub host_memory_bytes: u64,
    /// Size of the checkpoint cache on the disk of one host, in bytes.
    pub host_disk_bytes: u64,
}

/// Description of the plain service.
#[derive(Clone, Debug)]
pub struct ServiceTable {
    /// Name of its group.
    pub group: GroupName,
    /// Number of instances.
    pub instances: usize,
    /// Number of calls that one instance runs at once.
    pub slots: u32,
    /// Mean time of a call on an idle instance, in milliseconds.
    pub run_ms: u64,
    /// Mean number of calls per second over a day.
    pub requests_per_s: f64,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreTable {
    /// Maximum number of loads that start within a second.
    pub loads_per_s: u32,
    /// Maximum number of concurrent loads at full speed.
    pub full_speed_loads: u32,
}

/// Times that loads take from each cache tier.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    memory: TierTime,
    disk: TierTime,
    remote: TierTime,
}

#[derive(Clone, Copy, Debug)]
struct TierTime {
    fixed_ms: f64,
    ms_per_gb: f64,
}

/// Description of the models and adapters.
#[derive(Clone, Debug)]
pub struct ModelTable {
    /// Number of models, without adapters.
    pub count: usize,
    /// Sizes of the models in bytes, assigned to the models in rotation.
    pub sizes_bytes: Vec<u64>,
    /// Number of adapters.
    pub adapters: usize,
    /// Size of each adapter, in bytes.
    pub adapter_bytes: u64,
    /// Number of models that have adapters.
    pub adapter_bases: usize,
    /// Probability that no host has a model or adapter cached at the start.
    pub remote_only_share: f64,
}

/// Patterns by which models are called.
#[derive(Clone, Copy, Debug)]
pub struct ActivityTable {
    /// Share of the alternating models that become active or idle within an hour.
    pub change_share_per_hour: f64,
    /// Mean share of the alternating models that are active.
    pub active_share: f64,
    /// Share of the models that are always active.
    pub hot_share: f64,
    /// Share of the models that are called by a schedule.
    pub regular_share: f64,
    /// Median, over models, of the mean time between two requests to an active model.
    pub gap_median_ms: f64,
    /// Median, over models that are always active, of the mean time between two requests.
    pub hot_gap_median_ms: f64,
    /// Maximum number of requests in the burst that begins an active phase or a scheduled call.
    pub max_burst: u32,
    /// Number of callers.
    pub callers: u32,
}

/// Description of a request class.
#[derive(Clone, Debug)]
pub struct ClassTable {
    /// Name of the class.
    pub class: ClassName,
    /// Target for the time to the first token, in milliseconds.
    pub answer_within_ms: u64,
    /// Share of the requests, relative to the sum over all classes.
    pub share: f64,
    /// Mean time to the first token on an empty engine without a cached prefix, in milliseconds.
    pub first_token_ms: u64,
    /// Mean time to the complete answer on an empty engine, in milliseconds.
    pub run_ms: u64,
    /// Whether requests of the class may be executed twice.
    pub idempotent: bool,
}

impl LoadTimes {
    /// Returns the time of a load from a tier, as a fixed part and a part proportional to the size.
    /// The speed of the weight store affects only the second part of a remote load.
    pub fn parts_ms(&self, tier: CacheTier, bytes: u64) -> (f64, f64) {
        let time = match tier {
            CacheTier::Memory => self.memory,
            CacheTier::Disk => self.disk,
            CacheTier::Remote => self.remote,
        };
        let gigabytes = bytes as f64 / GIGABYTE as f64;
        (time.fixed_ms, time.ms_per_gb * gigabytes)
    }

    /// Returns the total time of a load from a tier at full speed.
    pub fn total_ms(&self, tier: CacheTier, bytes: u64) -> u64 {
        let (fixed_ms, sized_ms) = self.parts_ms(tier, bytes);
        (fixed_ms + sized_ms) as u64
    }
}

impl Deployment {
    /// Reads the description of a deployment from a file.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] for a file that can't be read or is no INI file, [`Error::Key`] for a
    /// missing or invalid key.
    pub fn read(path: &Path) -> Result<Self> {
        let ini = Ini::load_from_file(path).map_err(|error| Error::Unreadable {
            path: path.to_owned(),
            detail: error.to_string(),
        })?;
        Self::from_ini(&ini)
    }

    fn from_ini(ini: &Ini) -> Result<Self> {
        let mut classes = class_names(ini)
            .map(|class| class_table(ini, class))
            .collect::<Result<Vec<ClassTable>>>()?;
        classes.sort_by_key(|class| class.answer_within_ms);
        Ok(Self {
            name: value(ini, "deployment", "name")?,
            zones: list::<String>(ini, "deployment", "zones")?
                .into_iter()
                .map(ZoneName::from)
                .collect(),
            engines: EngineTable {
                group: GroupName::from(value::<String>(ini, "engines", "group")?),
                count: value(ini, "engines", "count")?,
                capacity_bytes: gigabytes(ini, "engines", "capacity_gb")?,
                slots: value(ini, "engines", "slots")?,
                host_memory_bytes: gigabytes(ini, "engines", "host_memory_gb")?,
                host_disk_bytes: gigabytes(ini, "engines", "host_disk_gb")?,
            },
            service: ServiceTable {
                group: GroupName::from(value::<String>(ini, "service", "group")?),
                instances: value(ini, "service", "instances")?,
                slots: value(ini, "service", "slots")?,
                run_ms: value(ini, "service", "run_ms")?,
                requests_per_s: value(ini, "service", "requests_per_s")?,
            },
            store: StoreTable {
                loads_per_s: value(ini, "store", "loads_per_s")?,
                full_speed_loads: value(ini, "store", "full_speed_loads")?,
            },
            load_times: LoadTimes {
                memory: tier_time(ini, "memory_fixed_ms", "memory_ms_per_gb")?,
                disk: tier_time(ini, "disk_fixed_ms", "disk_ms_per_gb")?,
                remote: tier_time(ini, "remote_fixed_ms", "remote_ms_per_gb")?,
            },
            models: model_table(ini)?,
            activity: activity_table(ini)?,
            classes,
        })
    }

    /// Returns the tightest class target, or 0 without classes.
    pub fn tightest_target_ms(&self) -> u64 {
        self.classes
            .first()
            .map_or(0, |class| class.answer_within_ms)
    }
}

fn class_names(ini: &Ini) -> impl Iterator<Item = &str> {
    ini.sections()
        .flatten()
        .filter_map(|section| section.strip_prefix(CLASS_PREFIX))
}

fn class_table(ini: &Ini, class: &str) -> Result<ClassTable> {
    let section = format!("{CLASS_PREFIX}{class}");
    Ok(ClassTable {
        class: ClassName::from(class),
        answer_within_ms: value(ini, &section, "answer_within_ms")?,
        share: value(ini, &section, "share")?,
        first_token_ms: value(ini, &section, "first_token_ms")?,
        run_ms: value(ini, &section, "run_ms")?,
        idempotent: value(ini, &section, "idempotent")?,
    })
}

fn model_table(ini: &Ini) -> Result<ModelTable> {
    let sizes: Vec<f64> = list(ini, "models", "sizes_gb")?;
    if sizes.is_empty() {
        return Err(Error::key("models", "sizes_gb", "has no value"));
    }
    let adapter_mb: u64 = value(ini, "models", "adapter_mb")?;
    Ok(ModelTable {
        count: value(ini, "models", "count")?,
        sizes_bytes: sizes
            .into_iter()
            .map(|size| (size * GIGABYTE as f64) as u64)
            .collect(),
        adapters: value(ini, "models", "adapters")?,
        adapter_bytes: adapter_mb * (GIGABYTE / 1_000),
        adapter_bases: value(ini, "models", "adapter_bases")?,
        remote_only_share: value(ini, "models", "remote_only_share")?,
    })
}

fn activity_table(ini: &Ini) -> Result<ActivityTable> {
    Ok(ActivityTable {
        change_share_per_hour: value(ini, "activity", "change_share_per_hour")?,
        active_share: value(ini, "activity", "active_share")?,
        hot_share: value(ini, "activity", "hot_share")?,
        regular_share: value(ini, "activity", "regular_share")?,
        gap_median_ms: value(ini, "activity", "gap_median_ms")?,
        hot_gap_median_ms: value(ini, "activity", "hot_gap_median_ms")?,
        max_burst: value(ini, "activity", "burst_most")?,
        callers: value(ini, "activity", "callers")?,
    })
}

fn tier_time(ini: &Ini, fixed: &str, per_gb: &str) -> Result<TierTime> {
    Ok(TierTime {
        fixed_ms: value(ini, "load_times", fixed)?,
        ms_per_gb: value(ini, "load_times", per_gb)?,
    })
}

fn gigabytes(ini: &Ini, section: &str, key: &str) -> Result<u64> {
    let size: f64 = value(ini, section, key)?;
    Ok((size * GIGABYTE as f64) as u64)
}

fn text<'a>(ini: &'a Ini, section: &str, key: &str) -> Result<&'a str> {
    ini.get_from(Some(section), key)
        .ok_or_else(|| Error::key(section, key, "is missing"))
}

fn value<T: FromStr>(ini: &Ini, section: &str, key: &str) -> Result<T> {
    let text = text(ini, section, key)?;
    text.parse()
        .map_err(|_| Error::key(section, key, format!("{text:?} is no valid value")))
}

fn list<T: FromStr>(ini: &Ini, section: &str, key: &str) -> Result<Vec<T>> {
    text(ini, section, key)?
        .split(',')
        .map(|item| {
            let item = item.trim();
            item.parse()
                .map_err(|_| Error::key(section, key, format!("{item:?} is no valid value")))
        })
        .collect()
}
