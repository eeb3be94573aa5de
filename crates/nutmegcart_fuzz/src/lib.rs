//! Runs bolero generators over fixed seeds, so that every run gives the same result.
//!
//! `bolero::check!` takes one input from `BOLERO_RANDOM_SEED` and seeds all others from the
//! operating system, so two runs see different inputs. [`for_each`] seeds every input.

use std::fmt::Debug;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::panic::resume_unwind;

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Maximum number of random bytes for the generation of one input.
const INPUT_BYTES: usize = 1 << 16;

/// Runs a test on the inputs generated from the seeds 0 to `count` - 1.
///
/// # Panics
///
/// Propagates the panic of the first input that fails, after printing its seed and value. Keep
/// such a seed as a regression test that calls [`replay`].
///
/// ```
/// use std::cell::Cell;
/// let sum = Cell::new(0);
/// nutmegcart_fuzz::for_each(10, &bolero::produce::<u8>(), |value| {
///     sum.set(sum.get() + u64::from(*value));
/// });
/// let first = sum.replace(0);
/// nutmegcart_fuzz::for_each(10, &bolero::produce::<u8>(), |value| {
///     sum.set(sum.get() + u64::from(*value));
/// });
/// assert_eq!(sum.get(), first);
/// ```
pub fn for_each<G>(count: u64, generator: &G, mut test: impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    for seed in 0..count {
        replay(seed, generator, &mut test);
    }
}

/// Runs a test on the input generated from one seed.
///
/// # Panics
///
/// Propagates the panic of the test, after printing the seed and the value.
pub fn replay<G>(seed: u64, generator: &G, mut test: impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let options = Options::default().with_max_len(INPUT_BYTES);
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    // `None` means that the random bytes ran out, which depends on the seed alone.
    let Some(value) = generator.generate(&mut driver) else {
        return;
    };
    if let Err(panic) = catch_unwind(AssertUnwindSafe(|| test(&value))) {
        eprintln!("seed {seed} fails with {value:#?}");
        resume_unwind(panic);
    }
}
