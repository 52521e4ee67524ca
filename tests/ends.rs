//! A worker is told that an end is noted only once that end is stored.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/twice.rs"]
mod twice;

use proptest::prelude::*;
use twice::{
    Event,
    Story, //
};

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u8>().prop_map(Event::Submit),
        8 => (any::<u8>(), prop::bool::weighted(0.3))
            .prop_map(|(which, failed)| Event::End { which, failed }),
        4 => (any::<u8>(), prop::bool::weighted(0.7))
            .prop_map(|(which, answered)| Event::Commit { which, answered }),
        1 => any::<u8>().prop_map(Event::Cancel),
        2 => any::<u8>().prop_map(Event::Silence),
        1 => any::<u8>().prop_map(Event::Lose),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(earlier_owner_over, behind)| {
            Event::ChangeOwner { earlier_owner_over, behind }
        }),
        1 => Just(Event::TellJobs),
        4 => (10..600u16).prop_map(Event::Pass),
        1 => Just(Event::PassLong),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// A gang ran again after it was done: the owner that heard of it could not
    /// reach the store, told the workers of all members but one that their ends
    /// are noted, and the one worker that still listed its end was lost before
    /// the next owner asked. Whatever happens in whatever order, no worker is
    /// told so before the end is stored, nothing starts after such an end, and
    /// no end waits once all is calm.
    #[test]
    fn no_worker_forgets_an_end_before_it_is_stored(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut story = Story::begin();

        for event in &events {
            story.play(event);
        }

        story.calm_down();
    }
}
