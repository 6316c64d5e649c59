//! Runs the request policy and its baselines on load shapes and prints a Markdown table.

use std::path::PathBuf;

use bpaf::Bpaf;
use carobwick_bench::Deployment;
use carobwick_bench::HEADER;
use carobwick_bench::PlacementRule;
use carobwick_bench::Score;
use carobwick_bench::Shape;
use carobwick_bench::Spread;
use carobwick_bench::World;
use carobwick_bench::plot;
use carobwick_bench::row;
use carobwick_core::DispatchPolicy;
use carobwick_core::RoutingRule;

/// Loads of the sweep, relative to the requests that fill all slots.
const LOADS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0, 10.0];

/// Measures carobwick's request policy against its baselines.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Shape to run: morning, swing, faults or a load such as 1.5; may be repeated; the first three if left out
    #[bpaf(argument("SHAPE"))]
    shape: Vec<Shape>,
    /// Run a sweep of constant loads and print goodput relative to its peak
    #[bpaf(switch)]
    sweep: bool,
    /// Deployment to run; both if left out
    #[bpaf(argument("NAME"))]
    deployment: Option<String>,
    /// Policy to run: carobwick, least-outstanding or round-robin; all if left out
    #[bpaf(argument("NAME"))]
    policy: Option<String>,
    /// Placement: spread, once or leaders
    #[bpaf(argument("RULE"), fallback(PlacementRule::Spread))]
    placement: PlacementRule,
    /// Number of seeds
    #[bpaf(argument("COUNT"), fallback(5))]
    seeds: u64,
    /// Seconds of virtual time of each run, of which the first 10 are not counted
    #[bpaf(argument("SECONDS"), fallback(60))]
    seconds: u64,
    /// File for the plot of the sweep
    #[bpaf(argument("FILE"), fallback(PathBuf::from("attainment.svg")))]
    plot: PathBuf,
    /// Load relative to the mean up to which an endpoint keeps its prefixes
    #[bpaf(argument("FACTOR"), fallback(DispatchPolicy::default().load_bound))]
    bound: f64,
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let mut shapes = options.shape.clone();
    if shapes.is_empty() && !options.sweep {
        shapes = vec![Shape::Morning, Shape::Swing, Shape::Faults];
    }
    println!("{HEADER}");
    let mut sweeps = Vec::new();
    for deployment in Deployment::all(options.placement)? {
        if options.deployment.as_ref().is_some_and(|name| name != deployment.name) {
            continue;
        }
        for shape in &shapes {
            for (name, policy) in policies(&options) {
                let scores = scores(&deployment, &policy, *shape, &options);
                println!("{}", row(deployment.name, &shape.to_string(), name, &scores));
            }
        }
        if options.sweep {
            for (name, policy) in policies(&options) {
                sweeps.push(sweep(&deployment, name, &policy, &options));
            }
        }
    }
    if options.sweep {
        print_relative(&sweeps);
        let lines: Vec<(String, Vec<(f64, f64)>)> = sweeps.iter().map(Sweep::line).collect();
        plot(&options.plot, "Requests that met their target", &lines)?;
    }
    Ok(())
}

struct Sweep {
    name: String,
    points: Vec<(f64, Vec<Score>)>,
}

impl Sweep {
    fn line(&self) -> (String, Vec<(f64, f64)>) {
        let point = |(load, scores): &(f64, Vec<Score>)| {
            (*load, 100.0 * Spread::of(scores.iter().map(Score::attainment)).median)
        };
        (self.name.clone(), self.points.iter().map(point).collect())
    }

    /// Returns the goodput of a seed at each load, relative to the highest of them.
    fn relative(&self, seed: usize) -> Vec<f64> {
        let goodput: Vec<f64> = self.points.iter().map(|(_, scores)| scores[seed].goodput()).collect();
        let peak = goodput.iter().copied().fold(0.0, f64::max);
        goodput.into_iter().map(|value| value / peak).collect()
    }
}

fn policies(options: &Options) -> Vec<(&'static str, DispatchPolicy)> {
    let policy = DispatchPolicy { load_bound: options.bound, ..DispatchPolicy::default() };
    let all = vec![
        ("carobwick", policy),
        ("least-outstanding", DispatchPolicy::baseline(RoutingRule::LeastOutstanding)),
        ("round-robin", DispatchPolicy::baseline(RoutingRule::RoundRobin)),
    ];
    all.into_iter().filter(|(name, _)| options.policy.as_ref().is_none_or(|only| only == name)).collect()
}

fn scores(deployment: &Deployment, policy: &DispatchPolicy, shape: Shape, options: &Options) -> Vec<Score> {
    let run = |seed| World::run(deployment, policy, shape, options.seconds, seed);
    (1..=options.seeds).map(run).collect()
}

fn sweep(deployment: &Deployment, name: &str, policy: &DispatchPolicy, options: &Options) -> Sweep {
    let mut points = Vec::new();
    for load in LOADS {
        let shape = Shape::Steady(load);
        let scores = scores(deployment, policy, shape, options);
        println!("{}", row(deployment.name, &shape.to_string(), name, &scores));
        points.push((load, scores));
    }
    Sweep { name: format!("{} {name}", deployment.name), points }
}

fn print_relative(sweeps: &[Sweep]) {
    let loads: Vec<String> = LOADS.iter().map(|load| format!("{load}x")).collect();
    println!("\n| goodput relative to its peak, % | {} |", loads.join(" | "));
    println!("|---|{}", "---|".repeat(LOADS.len()));
    for sweep in sweeps {
        let seeds = sweep.points[0].1.len();
        let relative: Vec<Vec<f64>> = (0..seeds).map(|seed| sweep.relative(seed)).collect();
        let at = |load: usize| Spread::of(relative.iter().map(|values| values[load])).text(100.0, 1);
        let cells: Vec<String> = (0..LOADS.len()).map(at).collect();
        println!("| {} | {} |", sweep.name, cells.join(" | "));
    }
}
