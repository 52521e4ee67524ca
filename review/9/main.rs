//! Runs the cases of this review that are scripts: `cases NUMBER FOLDER`.

mod cases;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(number), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        world::cannot_run("usage: cases NUMBER FOLDER");
    };
    let broken = match number.as_str() {
        "9" => cases::hidden_ends(folder),
        "10" => cases::kept_connections(folder),
        "11" => cases::overlapping_occurrences(folder),
        "13" => cases::upkeep_of_two(folder),
        "12" => cases::kept_for_urgent_work(folder),
        "limit" => cases::upkeep_answer_lost(folder),
        _ => world::cannot_run("there is no such case"),
    };
    std::process::exit(i32::from(broken));
}
