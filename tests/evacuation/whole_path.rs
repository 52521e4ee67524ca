//! Emptying a data centre on the operators' order: how daemons learn of the order,
//! and end-to-end tests with real daemons beside a stand-in of the platform.

use super::daemons::{
    self,
    fleet,
    is_completed as completed,
    path,
    wait_until, //
};
use super::operator::{
    Operator,
    StoreMode, //
};
use super::processes::{
    Answer,
    Daemon, //
};
use fuchsiaslip::cluster::EmptyingOrders;
use std::process::Command;
use std::time::{
    Duration,
    Instant, //
};

/// The bound within which an order has to be in force, as set in the daemons'
/// settings.
const ORDER_BOUND: Duration = Duration::from_millis(5_000);
/// Bound on starts after an order is acknowledged, while the store answers. A busy
/// test machine uses up some of it.
const START_BOUND: Duration = Duration::from_millis(500);

/// Four workers: 0 and 1 in the data centre `east`, 2 and 3 in `west`.
fn two_data_centres(test: u8, daemons: u8) -> (Operator, Vec<Daemon>) {
    let operator = Operator::spawn(4);
    for at in 0..4 {
        let data_centre = if at < 2 { "east" } else { "west" };
        operator.world().place_worker(at, data_centre);
    }
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet(test, daemons, &operator);
    (operator, daemons)
}

fn submit(daemon: &Daemon, job: u64, tasks: u32, run_ms: u64) {
    let body = daemons::job(tasks, run_ms);
    let answer = daemon.request("POST", &path(job), &body);
    assert!(
        matches!(answer, Answer::Status(200, _)),
        "{job}: {answer:?}"
    );
}

/// How long after `from` the last start in `east` was; `None` if there was none.
fn last_start_in_east(operator: &Operator, from: Instant) -> Option<Duration> {
    let world = operator.world();
    let there = world.records.iter().filter(|run| run.worker < 2);
    let delays = there.filter_map(|run| run.started.checked_duration_since(from));
    delays.max()
}

fn starts_in_west(operator: &Operator, from: Instant) -> usize {
    let world = operator.world();
    let there = world.records.iter().filter(|run| run.worker >= 2);
    there.filter(|run| run.started >= from).count()
}

#[test]
fn an_order_survives_a_change_of_owner_and_the_data_centre_is_used_again_at_once() {
    // Operators write bytes that cannot be decoded under a data centre's key; the key
    // alone names the data centre. Then the owner is killed, the history is dropped,
    // and the next owner has to obey the order as well.
    let (operator, mut daemons) = two_data_centres(210, 2);
    submit(&daemons[0], 1, 600, 200);
    wait_until("east is in use", || {
        operator.world().records.iter().any(|run| run.worker < 2)
    });

    operator
        .world()
        .order_emptying("east", b"\xff\x00 no order that reads");
    let ordered = Instant::now();
    std::thread::sleep(Duration::from_millis(1_200));
    operator.world().drop_history();
    std::thread::sleep(Duration::from_millis(600));
    let owner = operator.world().value("owner").expect("an owner");
    let owner = usize::from(owner["owner"] == "d1");
    daemons[owner].kill();
    let killed = Instant::now();
    wait_until("the next owner starts tasks", || {
        starts_in_west(&operator, killed + Duration::from_millis(300)) > 0
    });
    std::thread::sleep(Duration::from_millis(500));

    let last_start = last_start_in_east(&operator, ordered);
    println!("last start in east after the order: {last_start:?}");
    assert!(
        last_start.is_none_or(|after| after < START_BOUND),
        "{last_start:?}"
    );

    operator.world().withdraw_emptying("east");
    let given_back = Instant::now();
    wait_until("east is used again", || {
        last_start_in_east(&operator, given_back).is_some()
    });
    println!("used again after {:?}", given_back.elapsed());
    assert!(given_back.elapsed() < 2 * START_BOUND);
    let other = &daemons[1 - owner];
    wait_until("the job is completed", || completed(other, 1));
}

#[test]
fn an_order_given_during_a_store_outage_is_obeyed_within_its_bound() {
    // The store stops answering the daemons but still answers the operators, who give
    // an order. The owner cannot know the order. It stops starting tasks before the
    // order has to be in force, and continues once it has read the order.
    let (operator, daemons) = two_data_centres(211, 1);
    submit(&daemons[0], 1, 1_200, 300);
    wait_until("east is in use", || {
        operator.world().records.iter().any(|run| run.worker < 2)
    });

    operator.world().mode = StoreMode::Unresponsive;
    operator.world().order_emptying("east", b"{}");
    let ordered = Instant::now();
    std::thread::sleep(ORDER_BOUND + Duration::from_millis(1_500));
    let last_start = last_start_in_east(&operator, ordered);
    println!("last start in east after the order: {last_start:?}");
    operator.world().mode = StoreMode::Serving;
    let recovered = Instant::now();
    wait_until("west is used again", || {
        starts_in_west(&operator, recovered) > 0
    });
    println!(
        "first start after the store recovered: {:?}",
        recovered.elapsed()
    );
    std::thread::sleep(Duration::from_millis(600));

    assert!(
        last_start.is_some(),
        "an owner starts tasks through a short outage"
    );
    let last_start = last_start_in_east(&operator, ordered);
    assert!(
        last_start.is_some_and(|after| after < ORDER_BOUND),
        "{last_start:?}"
    );
    operator.world().withdraw_emptying("east");
    wait_until("the job is completed", || completed(&daemons[0], 1));
}

#[test]
fn jobs_are_accepted_and_wait_while_everything_is_emptied() {
    let (operator, daemons) = two_data_centres(212, 1);
    operator.world().order_emptying("east", b"{}");
    operator.world().order_emptying("west", b"{}");
    operator.world().order_emptying("nowhere", b"{}");
    std::thread::sleep(START_BOUND);

    submit(&daemons[0], 1, 4, 50);
    std::thread::sleep(Duration::from_secs(1));
    let waiting = daemons[0].request("GET", &path(1), "");
    assert_eq!(
        waiting,
        Answer::Status(200, r#"{"state":"queued"}"#.to_owned())
    );
    assert!(operator.world().records.is_empty());

    operator.world().withdraw_emptying("west");
    wait_until("the job is completed", || completed(&daemons[0], 1));
    assert!(operator.world().records.iter().all(|run| run.worker >= 2));
}

/// What `fuchsiaslip fleet` prints for the fleet, or for a job if one is given.
fn fleet_output(operator: &Operator, job: Option<u64>) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_fuchsiaslip"))
        .args(["fleet", "--store", &operator.store.to_string()])
        .args(job.map(|job| format!("{job:016x}")))
        .output()
        .expect("the command runs");
    String::from_utf8(output.stdout).expect("text")
}

/// How long owners have known that `east` is emptied, as `fuchsiaslip fleet` prints
/// it.
fn shown_age_ms(operator: &Operator) -> Option<u64> {
    let output = fleet_output(operator, None);
    let line = output
        .lines()
        .find(|line| line.starts_with("emptied east"))?;
    let (_, age) = line.split_once("known to owners for ")?;
    age.trim_end_matches(" ms").parse().ok()
}

#[test]
fn the_fleet_command_shows_an_order_and_its_age_after_a_change_of_owner() {
    let (operator, mut daemons) = two_data_centres(213, 2);
    operator.world().order_emptying("east", b"{}");
    let ordered = Instant::now();
    submit(&daemons[0], 1, 1, 60_000);
    wait_until("an owner knows the order", || {
        shown_age_ms(&operator).is_some()
    });
    let job = fleet_output(&operator, Some(1));
    assert!(job.contains("\"east\""), "{job}");

    let owner = operator.world().value("owner").expect("an owner");
    daemons[usize::from(owner["owner"] == "d1")].kill();
    wait_until("the next daemon owns", || {
        operator.world().value("owner").expect("an owner")["epoch"] != owner["epoch"]
    });
    std::thread::sleep(START_BOUND);
    let age_ms = shown_age_ms(&operator).map(Duration::from_millis);
    let longest = ordered.elapsed();
    assert!(
        age_ms.is_some_and(|age| age + 3 * START_BOUND > longest && age <= longest),
        "the age includes the time before the takeover: {age_ms:?} of {longest:?}"
    );

    operator.world().withdraw_emptying("east");
    wait_until("the record of the emptied data centre is deleted", || {
        operator.world().keys("emptied/").is_empty()
    });
    assert!(!fleet_output(&operator, None).contains("emptied"));
}

fn data_centres_of(orders: &EmptyingOrders) -> Vec<String> {
    let orders = orders.in_force().into_iter();
    orders.map(|order| order.data_centre).collect()
}

const EAST: &str = "op/evacuate/east";
const WEST: &str = "op/evacuate/west";

#[test]
fn a_list_and_changes_that_overtake_each_other_do_not_bring_old_orders_back() {
    // A daemon takes over. While its list is on the way, its watch shows that one
    // order was taken back and another was given.
    let mut orders = EmptyingOrders::default();
    orders.apply_list([(EAST, 5)].into_iter(), 6, 1_000);
    orders.apply_changes([(WEST, 8, true), (EAST, 7, false)].into_iter(), 8, 1_100);
    assert_eq!(data_centres_of(&orders), ["west"]);

    orders.apply_list([(EAST, 5)].into_iter(), 6, 1_200);
    assert_eq!(data_centres_of(&orders), ["west"], "the list is older");
    assert_eq!(orders.checked_ms(), 1_100);
    orders.apply_changes([(EAST, 5, true)].into_iter(), 6, 1_050);
    assert_eq!(data_centres_of(&orders), ["west"], "the changes are older");

    orders.apply_list([(EAST, 9)].into_iter(), 9, 1_300);
    orders.apply_changes([(WEST, 8, true), (EAST, 9, true)].into_iter(), 9, 1_250);
    assert_eq!(data_centres_of(&orders), ["east"], "the list is newer");
    assert_eq!(orders.checked_ms(), 1_300);
}

#[test]
fn an_order_given_and_withdrawn_between_two_answers_has_no_effect() {
    let mut orders = EmptyingOrders::default();
    orders.apply_list(std::iter::empty(), 4, 1_000);
    orders.apply_changes([(EAST, 6, false), (EAST, 5, true)].into_iter(), 6, 1_100);
    assert!(orders.in_force().is_empty());

    orders.apply_changes([("op/evacuate/", 7, true)].into_iter(), 7, 1_200);
    assert!(
        orders.in_force().is_empty(),
        "a key that names no data centre"
    );
}
