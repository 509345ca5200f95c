//! `hibiscusbarrow bench`.
pub fn execute(_: crate::cli::Bench) -> anyhow::Result<()> {
    Ok(())
}
