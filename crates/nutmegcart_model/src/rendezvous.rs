//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a member for a key; the member with the highest weight ranks first.
///
/// ```
/// # use nutmegcart_model::rendezvous::weight;
/// assert_eq!(weight(b"key", b"a"), weight(b"key", b"a"));
/// ```
#[must_use]
pub fn weight(key: &[u8], member: &[u8]) -> u64 {
    xxh3_64_with_seed(member, xxh3_64_with_seed(key, 0))
}

/// Sorts members by descending weight for the key.
///
/// Removing a member does not change the order of the others.
///
/// ```
/// # use nutmegcart_model::rendezvous::rank;
/// let all = rank(b"key", ["a", "b", "c"], |m| m.as_bytes().to_vec());
/// let rest = rank(b"key", [all[1], all[2]], |m| m.as_bytes().to_vec());
/// assert_eq!(rest, all[1..]);
/// ```
pub fn rank<T>(
    key: &[u8],
    members: impl IntoIterator<Item = T>,
    bytes: impl Fn(&T) -> Vec<u8>,
) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = members
        .into_iter()
        .map(|member| (weight(key, &bytes(&member)), member))
        .collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.into_iter().map(|(_, member)| member).collect()
}
