//! Hashes of a prompt's leading blocks, by which owners recognise shared prefixes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of one block.
const BLOCK: usize = 256;
/// Blocks hashed at most: 8 KiB tell shared instructions apart well enough.
const BLOCKS: usize = 32;

/// Hashes each leading block together with all before it, longest last. An incomplete last
/// block does not count.
pub fn hashes(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(BLOCK)
        .take(BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
