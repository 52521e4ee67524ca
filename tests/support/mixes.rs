//! Seeded lists of jobs: mixes for two deployments, and data centres of a given size.

use super::driver::{
    ListedJob,
    Mix, //
};
use fuchsiaslip::config::Declaration;
use fuchsiaslip::core::{
    Adjacency,
    Shape, //
};
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::HashSet;

const HOUR_MS: u64 = 3_600_000;
const END_MS: u64 = 6 * HOUR_MS;
/// The mixes of each deployment.
pub const NAMES: [&str; 8] = [
    "day",
    "night",
    "burst",
    "liar",
    "bad-worker",
    "cancellation",
    "fragmented",
    "reclaim-all",
];

/// A deployment whose jobs and guarantees are simulated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    Jadran,
    Kigali,
}

impl Deployment {
    pub const ALL: [Deployment; 2] = [Deployment::Jadran, Deployment::Kigali];

    pub fn name(self) -> &'static str {
        match self {
            Deployment::Jadran => "jadran",
            Deployment::Kigali => "kigali",
        }
    }
}

/// A kind of job that arrives at random times.
struct JobStream {
    class: &'static str,
    accounts: &'static [&'static str],
    shapes: &'static [Shape],
    /// The shortest and the longest run time.
    run_ms: (u64, u64),
    /// Average share of the data centre's accelerators that the jobs need by day.
    load: f64,
    idempotent: bool,
}

const fn rack(workers: u16) -> Shape {
    Shape {
        accelerators_per_worker: 8,
        workers,
        adjacency: Adjacency::Rack,
    }
}

const fn neighbouring_racks(workers: u16) -> Shape {
    Shape {
        accelerators_per_worker: 8,
        workers,
        adjacency: Adjacency::NeighbouringRacks,
    }
}

const fn single(accelerators: u16) -> Shape {
    Shape {
        accelerators_per_worker: accelerators,
        workers: 1,
        adjacency: Adjacency::Rack,
    }
}

const JADRAN: [JobStream; 4] = [
    JobStream {
        class: "notice",
        accounts: &["zadruga", "sindikat", "otok", "mreza"],
        shapes: &[single(1)],
        run_ms: (2_000, 8_000),
        load: 0.02,
        idempotent: false,
    },
    JobStream {
        class: "render",
        accounts: &["zadruga", "sindikat", "otok", "mreza"],
        shapes: &[single(1), single(1), single(2)],
        run_ms: (30_000, 180_000),
        load: 0.20,
        idempotent: true,
    },
    JobStream {
        class: "translation",
        accounts: &["zadruga", "sindikat", "mreza"],
        shapes: &[rack(2), rack(2), rack(4)],
        run_ms: (600_000, 2_400_000),
        load: 0.40,
        idempotent: true,
    },
    JobStream {
        class: "indexing",
        accounts: &["zadruga", "sindikat", "otok", "mreza"],
        shapes: &[
            single(8),
            single(4),
            neighbouring_racks(4),
            neighbouring_racks(8),
        ],
        run_ms: (1_200_000, 3_600_000),
        load: 0.45,
        idempotent: true,
    },
];

const KIGALI: [JobStream; 4] = [
    JobStream {
        class: "fitment",
        accounts: &["counter", "depots", "mills", "licensed"],
        shapes: &[single(1)],
        run_ms: (300, 1_200),
        load: 0.004,
        idempotent: false,
    },
    JobStream {
        class: "match",
        accounts: &["counter", "depots", "mills", "licensed"],
        shapes: &[single(2), single(1)],
        run_ms: (5_000, 30_000),
        load: 0.10,
        idempotent: true,
    },
    JobStream {
        class: "pricing",
        accounts: &["counter", "mills", "licensed"],
        shapes: &[rack(2), single(8), rack(4)],
        run_ms: (300_000, 1_200_000),
        load: 0.33,
        idempotent: true,
    },
    JobStream {
        class: "forecast",
        accounts: &["counter", "depots", "mills", "licensed"],
        shapes: &[
            single(4),
            single(8),
            neighbouring_racks(4),
            neighbouring_racks(8),
        ],
        run_ms: (1_200_000, 3_600_000),
        load: 0.45,
        idempotent: true,
    },
];

const JADRAN_DECLARATION: &str = r#"
[weights]
completion = 0.4
fragmentation = 0.6
[[class]]
name = "notice"
completion_ms = 30000
urgent = true
reclaims = true
[[class]]
name = "render"
completion_ms = 600000
reclaims = true
reclaimable = true
grace_ms = 2000
[[class]]
name = "translation"
completion_ms = 7200000
reclaims = true
reclaimable = true
grace_ms = 10000
[[class]]
name = "indexing"
completion_ms = 28800000
reclaimable = true
grace_ms = 10000
[[account]]
name = "zadruga"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 320
share = 4
[[account.guarantees]]
data_centre = "dc"
accelerators_per_worker = 8
workers = 4
adjacency = "rack"
count = 2
[[account]]
name = "sindikat"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 200
share = 2
[[account.guarantees]]
data_centre = "dc"
accelerators_per_worker = 8
workers = 2
adjacency = "rack"
count = 2
[[account]]
name = "otok"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 160
[[account.guarantees]]
data_centre = "dc"
accelerators_per_worker = 8
workers = 1
count = 2
[[account]]
name = "mreza"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 200
"#;

const KIGALI_DECLARATION: &str = r#"
[weights]
completion = 0.8
fragmentation = 0.2
[[class]]
name = "fitment"
completion_ms = 2500
urgent = true
reclaims = true
[[class]]
name = "match"
completion_ms = 90000
reclaims = true
[[class]]
name = "pricing"
completion_ms = 5400000
reclaims = true
reclaimable = true
grace_ms = 5000
[[class]]
name = "forecast"
completion_ms = 28800000
reclaimable = true
grace_ms = 5000
[[account]]
name = "counter"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 320
share = 4
[[account.guarantees]]
data_centre = "dc"
accelerators_per_worker = 8
workers = 4
adjacency = "rack"
[[account]]
name = "depots"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 200
share = 2
[[account.guarantees]]
data_centre = "dc"
accelerators_per_worker = 8
workers = 1
count = 4
[[account]]
name = "mills"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 200
[[account.guarantees]]
data_centre = "dc"
accelerators_per_worker = 8
workers = 2
adjacency = "rack"
count = 2
[[account]]
name = "licensed"
token_sha256 = ""
data_centres = ["dc"]
quota_accelerators = 200
"#;

fn parse(text: &str) -> Declaration {
    toml::from_str(text).expect("the declaration is valid")
}

struct Generator {
    random: StdRng,
    jobs: Vec<ListedJob>,
    accelerators: f64,
}

impl Generator {
    fn choose<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.random.random_range(0..from.len())]
    }

    /// A random job of `stream` that arrives at `at_ms`.
    fn random_job(&mut self, stream: &JobStream, at_ms: u64) -> ListedJob {
        let actual_run_ms = self.random.random_range(stream.run_ms.0..=stream.run_ms.1);
        ListedJob {
            at_ms,
            account: self.choose(stream.accounts),
            class: stream.class,
            shape: self.choose(stream.shapes),
            declared_run_ms: actual_run_ms,
            actual_run_ms,
            idempotent: stream.idempotent,
            cancel_at_ms: None,
            always_fails: false,
        }
    }

    /// Adds random arrivals of `stream` until an hour before the end of the mix, at
    /// the rate that its load times `load_factor` needs.
    fn add_arrivals(&mut self, stream: &JobStream, load_factor: f64) {
        let sizes: u32 = stream.shapes.iter().map(Shape::accelerators).sum();
        let mean_size = f64::from(sizes) / stream.shapes.len() as f64;
        let mean_run_ms = (stream.run_ms.0 + stream.run_ms.1) as f64 / 2.0;
        let wanted = stream.load * load_factor * self.accelerators;
        let mean_gap_ms = mean_size * mean_run_ms / wanted;
        let mut at_ms = 0.0;
        loop {
            let uniform: f64 = self.random.random_range(1e-9..1.0);
            at_ms += -uniform.ln() * mean_gap_ms;
            if at_ms as u64 >= END_MS - HOUR_MS {
                return;
            }
            let job = self.random_job(stream, at_ms as u64);
            self.jobs.push(job);
        }
    }
}

/// The mix called `name`, one of [`NAMES`].
pub fn mix(deployment: Deployment, name: &str, seed: u64) -> Mix {
    let (streams, declaration, rack_size) = match deployment {
        Deployment::Jadran => (&JADRAN, JADRAN_DECLARATION, 6),
        Deployment::Kigali => (&KIGALI, KIGALI_DECLARATION, 8),
    };
    let workers = 50;
    let mut generator = Generator {
        random: StdRng::seed_from_u64(seed),
        jobs: Vec::new(),
        accelerators: f64::from(workers * 8),
    };
    let factors = match name {
        "night" => [0.5, 0.4, 0.3, 1.0],
        "fragmented" => [1.0, 2.2, 0.9, 0.3],
        "reclaim-all" => [0.5, 0.5, 0.2, 2.0],
        _ => [1.0, 1.0, 1.0, 1.0],
    };
    for (stream, factor) in streams.iter().zip(factors) {
        generator.add_arrivals(stream, factor);
    }
    let mut mix = Mix {
        name: format!("{}.{name}", deployment.name()),
        declaration: parse(declaration),
        workers: workers as usize,
        rack_size,
        accelerators: 8,
        end_ms: END_MS,
        jobs: Vec::new(),
        bad_workers: HashSet::new(),
        demand: vec![
            (rack(2), 16.0),
            (rack(4), 32.0),
            (neighbouring_racks(8), 64.0),
        ],
    };
    add_special_events(&mut mix, &mut generator, streams, name);
    mix.jobs = generator.jobs;
    mix
}

/// Adds what distinguishes the mix called `name`: bursts, wrong declared run times,
/// bad workers and jobs that always fail, mass cancellations, or jobs that fill every
/// guarantee.
fn add_special_events(
    mix: &mut Mix,
    generator: &mut Generator,
    streams: &[JobStream; 4],
    name: &str,
) {
    match name {
        "burst" => {
            for _ in 0..800 {
                let job = generator.random_job(&streams[1], HOUR_MS);
                generator.jobs.push(job);
            }
            for _ in 0..16 {
                let job = generator.random_job(&streams[2], 3 * HOUR_MS);
                generator.jobs.push(job);
            }
        }
        "liar" => {
            for at in 0..generator.jobs.len() {
                let exponent: f64 = generator.random.random_range(-1.0..1.0);
                let factor = 10f64.powf(exponent);
                let job = &mut generator.jobs[at];
                job.declared_run_ms = ((job.actual_run_ms as f64 * factor) as u64).max(1);
            }
        }
        "bad-worker" => {
            mix.bad_workers = [3, 17, 31].into();
            for at in 0..generator.jobs.len() {
                generator.jobs[at].always_fails = generator.random.random_range(0..100) == 0;
            }
        }
        "cancellation" => {
            for _ in 0..10_000 {
                let mut job = generator.random_job(&streams[1], 2 * HOUR_MS);
                job.cancel_at_ms = Some(2 * HOUR_MS + 5 * 60_000);
                generator.jobs.push(job);
            }
        }
        "reclaim-all" => {
            for hour in 1..5 {
                for account in &mix.declaration.accounts {
                    for guarantee in &account.guarantees {
                        for _ in 0..guarantee.count {
                            let mut job = generator.random_job(&streams[2], hour * HOUR_MS);
                            job.account = streams[0]
                                .accounts
                                .iter()
                                .find(|name| **name == account.name)
                                .copied()
                                .unwrap_or(job.account);
                            job.shape = guarantee.shape();
                            generator.jobs.push(job);
                        }
                    }
                }
            }
        }
        _ => {}
    }
}

/// A data centre of `workers` workers with 5 accelerators each. Jobs first arrive
/// until each worker can run 4 tasks; after a pause, further jobs arrive at a steady
/// rate.
pub fn sized(workers: usize, seed: u64) -> Mix {
    let mut random = StdRng::seed_from_u64(seed);
    let gang = |workers| Shape {
        accelerators_per_worker: 2,
        workers,
        adjacency: Adjacency::NeighbouringRacks,
    };
    let mut jobs = Vec::new();
    let job_count = workers * 6;
    for at in 0..job_count {
        let filling = at < workers * 4;
        let at_ms = match filling {
            true => at as u64,
            false => (at as u64).max(workers as u64 * 4) + 60_000,
        };
        let large = at % 400 == 399;
        let urgent = at % 5 == 0;
        let run_ms = random.random_range(600_000..7_200_000);
        jobs.push(ListedJob {
            at_ms,
            account: ["zadruga", "sindikat", "otok", "mreza"][at % 4],
            class: if urgent && !filling {
                "notice"
            } else {
                "indexing"
            },
            shape: match large && !filling {
                true => gang([16, 64, 256][at / 400 % 3]),
                false => single(1),
            },
            declared_run_ms: run_ms,
            actual_run_ms: if urgent && !filling { 5_000 } else { run_ms },
            idempotent: true,
            cancel_at_ms: None,
            always_fails: false,
        });
    }
    let mut declaration = parse(JADRAN_DECLARATION);
    for account in &mut declaration.accounts {
        account.quota_accelerators = u32::MAX;
        for guarantee in &mut account.guarantees {
            guarantee.accelerators_per_worker = 4;
            guarantee.count *= (workers / 100).max(1) as u16;
        }
    }
    for class in &mut declaration.classes {
        class.queue_limit = 1_000_000;
    }
    for account in &mut declaration.accounts {
        account.queue_limit = 1_000_000;
    }
    Mix {
        name: format!("size.{workers}"),
        declaration,
        workers,
        rack_size: 8,
        accelerators: 5,
        end_ms: 600_000,
        jobs,
        bad_workers: HashSet::new(),
        demand: vec![(gang(16), 32.0)],
    }
}
