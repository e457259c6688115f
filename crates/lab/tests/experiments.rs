//! Tests that experiment files are parsed strictly and that those of the
//! repository are valid.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use threadledge_lab::cli;
use threadledge_lab::experiment::{self, ExperimentError, FaultAction, RouterTarget};
use threadledge_lab::rig::Deployment;
use threadledge_types::BackEndId;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A temporary directory that is removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let name = format!("threadledge-lab-test-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a scratch directory");
        TempDirectory(directory)
    }

    fn experiment(&self, rest: &str) -> PathBuf {
        let path = self.0.join("experiment.toml");
        let text = format!(
            "name = 'n'\ndescription = 'd'\ndeployments = []\nloads = []\nduration-ms = 10000\n{rest}"
        );
        fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn faults_are_read_with_their_times_and_sorted() {
    let directory = TempDirectory::new("sorted");
    let path = directory.experiment(
        "[[fault]]\nat-ms = 900\naction = 'freeze-back-end'\nback-end = 'kauri/a'\nfor-ms = 5\n\
         [[fault]]\nat-ms = 100\naction = 'kill-router'\nrouter = 'leader'\n",
    );
    let experiment = experiment::read(&path).expect("an experiment");
    let actions: Vec<_> = experiment
        .faults
        .iter()
        .map(|fault| &fault.action)
        .collect();
    let freeze = FaultAction::FreezeBackEnd {
        back_end: BackEndId::new("kauri", "a"),
        for_ms: 5,
    };
    let kill = FaultAction::KillRouter {
        router: RouterTarget::Leader,
    };
    assert_eq!(actions, vec![&kill, &freeze]);
}

#[test]
fn a_shorter_run_scales_the_times_of_its_faults() {
    let directory = TempDirectory::new("shorter");
    let path =
        directory.experiment("[[fault]]\nat-ms = 5000\naction = 'store-down'\nfor-ms = 1000\n");
    let mut experiment = experiment::read(&path).expect("an experiment");
    experiment::set_duration(&mut experiment, Duration::from_secs(2));
    assert_eq!(experiment.faults[0].at_ms, 1_000);
}

#[test]
fn an_unknown_key_and_a_fault_after_the_load_are_rejected() {
    let directory = TempDirectory::new("refused");
    let unknown = directory.experiment("[bounds]\nviolations = 3\n");
    let error = experiment::read(&unknown).expect_err("no such bound");
    assert!(matches!(error, ExperimentError::Parse { .. }), "{error}");
    let late =
        directory.experiment("[[fault]]\nat-ms = 10000\naction = 'store-down'\nfor-ms = 1\n");
    let error = experiment::read(&late).expect_err("too late");
    assert!(matches!(error, ExperimentError::Value { .. }), "{error}");
}

#[test]
fn every_experiment_of_the_repository_refers_to_objects_of_its_deployment() {
    let found = experiment::list(&repository().join("experiments")).expect("experiments");
    assert!(found.len() >= 19, "{} experiments", found.len());
    for (path, experiment) in found {
        let deployment = Deployment::read(&experiment.deployments).expect("a deployment");
        for fault in &experiment.faults {
            if let Some(back_end) = fault.action.affected_back_end() {
                let known = deployment.back_ends.contains_key(back_end);
                assert!(known, "{}: {back_end}", path.display());
            }
        }
        for traffic in experiment.loads.iter().flat_map(|load| &load.traffic) {
            let service = &deployment.services[&traffic.service];
            assert!(
                service.spec.hosts.contains(&traffic.host),
                "{}",
                traffic.host
            );
        }
    }
}

#[test]
fn partners_that_share_routers_share_a_region_and_its_zones() {
    let examples = repository().join("examples");
    let both = [examples.join("luzon"), examples.join("nz-north")];
    let deployment = Deployment::read(&both).expect("a deployment");
    assert_eq!(deployment.routers.len(), 3);
    let zones: Vec<_> = deployment.routers.iter().map(|place| &place.zone).collect();
    assert!(
        deployment
            .back_ends
            .values()
            .all(|one| zones.contains(&&one.spec.zone))
    );
    let mut services = deployment.services.values();
    assert!(services.all(|one| one.spec.region == deployment.region));
    let counts: usize = deployment.member_counts().values().sum();
    assert_eq!(counts, deployment.back_ends.len());
}

#[test]
fn the_command_line_takes_the_documented_flags() {
    let arguments = [
        "run",
        "x.toml",
        "--seed",
        "7",
        "--duration",
        "3",
        "--report",
        "r.json",
    ];
    let command = cli::options().run_inner(&arguments[..]).expect("a command");
    let expected = cli::Command::Run {
        experiment: PathBuf::from("x.toml"),
        arguments: cli::RunArguments {
            seed: 7,
            duration: Some(Duration::from_secs(3)),
            report: Some(PathBuf::from("r.json")),
            keep_logs: false,
            baselines: true,
        },
    };
    assert_eq!(command, expected);
    let demo = cli::options().run_inner(&["demo"][..]);
    let alone = cli::options().run_inner(&["run", "x.toml", "--without-baselines"][..]);
    for command in [demo, alone] {
        let (cli::Command::Demo(arguments) | cli::Command::Run { arguments, .. }) =
            command.expect("a command")
        else {
            panic!("another command");
        };
        assert!(!arguments.baselines);
    }
    let endless = ["demo", "--duration", "0"];
    assert!(cli::options().run_inner(&endless[..]).is_err());
}
