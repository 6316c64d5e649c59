//! Simulates the dispatch policy and its baselines under several load shapes and prints a Markdown table.

use std::path::PathBuf;

use bpaf::Bpaf;
use carobwick_bench::Deployment;
use carobwick_bench::PlacementRule;
use carobwick_bench::Score;
use carobwick_bench::Shape;
use carobwick_bench::Simulation;
use carobwick_bench::Summary;
use carobwick_bench::TABLE_HEADER;
use carobwick_bench::plot;
use carobwick_bench::table_row;
use carobwick_core::DispatchPolicy;
use carobwick_core::RoutingRule;

/// Loads of the sweep, relative to [`Deployment::capacity`].
const SWEEP_LOADS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0, 10.0];

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
    println!("{TABLE_HEADER}");
    let mut sweeps = Vec::new();
    for deployment in Deployment::all(options.placement)? {
        if options.deployment.as_ref().is_some_and(|name| name != deployment.name) {
            continue;
        }
        for shape in &shapes {
            for (name, policy) in policies(&options) {
                let scores = run_seeds(&deployment, &policy, *shape, &options);
                println!("{}", table_row(deployment.name, &shape.to_string(), name, &scores));
            }
        }
        if options.sweep {
            for (name, policy) in policies(&options) {
                sweeps.push(run_sweep(&deployment, name, &policy, &options));
            }
        }
    }
    if options.sweep {
        print_relative_goodput(&sweeps);
        let lines: Vec<(String, Vec<(f64, f64)>)> = sweeps.iter().map(Sweep::plot_line).collect();
        plot(&options.plot, "Requests that met their target", &lines)?;
    }
    Ok(())
}

/// Scores of one policy on one deployment at each load of the sweep.
struct Sweep {
    name: String,
    /// Each load with its scores, one per seed.
    points: Vec<(f64, Vec<Score>)>,
}

impl Sweep {
    /// Returns the label of the sweep and the median attainment in percent at each load.
    fn plot_line(&self) -> (String, Vec<(f64, f64)>) {
        let point = |(load, scores): &(f64, Vec<Score>)| {
            (*load, 100.0 * Summary::of(scores.iter().map(Score::attainment)).median)
        };
        (self.name.clone(), self.points.iter().map(point).collect())
    }

    /// Returns the goodput of one seed at each load, relative to its peak.
    fn relative_goodput(&self, seed: usize) -> Vec<f64> {
        let goodput: Vec<f64> = self.points.iter().map(|(_, scores)| scores[seed].goodput()).collect();
        let peak = goodput.iter().copied().fold(0.0, f64::max);
        goodput.into_iter().map(|value| value / peak).collect()
    }
}

/// Returns the policies selected by the options, with their names.
fn policies(options: &Options) -> Vec<(&'static str, DispatchPolicy)> {
    let policy = DispatchPolicy { load_bound: options.bound, ..DispatchPolicy::default() };
    let all = vec![
        ("carobwick", policy),
        ("least-outstanding", DispatchPolicy::baseline(RoutingRule::LeastOutstanding)),
        ("round-robin", DispatchPolicy::baseline(RoutingRule::RoundRobin)),
    ];
    all.into_iter().filter(|(name, _)| options.policy.as_ref().is_none_or(|only| only == name)).collect()
}

/// Simulates a shape once per seed.
fn run_seeds(
    deployment: &Deployment,
    policy: &DispatchPolicy,
    shape: Shape,
    options: &Options,
) -> Vec<Score> {
    let run = |seed| Simulation::run(deployment, policy, shape, options.seconds, seed);
    (1..=options.seeds).map(run).collect()
}

/// Simulates every load of the sweep and prints a table row for each.
fn run_sweep(deployment: &Deployment, name: &str, policy: &DispatchPolicy, options: &Options) -> Sweep {
    let mut points = Vec::new();
    for load in SWEEP_LOADS {
        let shape = Shape::Steady(load);
        let scores = run_seeds(deployment, policy, shape, options);
        println!("{}", table_row(deployment.name, &shape.to_string(), name, &scores));
        points.push((load, scores));
    }
    Sweep { name: format!("{} {name}", deployment.name), points }
}

fn print_relative_goodput(sweeps: &[Sweep]) {
    let loads: Vec<String> = SWEEP_LOADS.iter().map(|load| format!("{load}x")).collect();
    println!("\n| goodput relative to its peak, % | {} |", loads.join(" | "));
    println!("|---|{}", "---|".repeat(SWEEP_LOADS.len()));
    for sweep in sweeps {
        let seeds = sweep.points[0].1.len();
        let relative_goodput: Vec<Vec<f64>> = (0..seeds).map(|seed| sweep.relative_goodput(seed)).collect();
        let cell =
            |load: usize| Summary::of(relative_goodput.iter().map(|values| values[load])).format(100.0, 1);
        let cells: Vec<String> = (0..SWEEP_LOADS.len()).map(cell).collect();
        println!("| {} | {} |", sweep.name, cells.join(" | "));
    }
}
