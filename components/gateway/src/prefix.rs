//! Hashes the leading blocks of a prompt, by which owners detect shared prefixes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of a block, in bytes.
const BLOCK_LEN: usize = 256;
/// Largest number of blocks that are hashed. 8 KiB are enough to tell shared instructions apart.
const MAX_BLOCKS: usize = 32;

/// Returns a hash of each prefix that consists of whole blocks, longest prefix last.
pub fn hashes(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(BLOCK_LEN)
        .take(MAX_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
