//! `hibiscusbarrow demo`.
pub fn execute(_: crate::cli::Demo) -> anyhow::Result<()> {
    Ok(())
}
