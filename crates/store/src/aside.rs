//! Preserves files that were set aside as `FILE.aside-N` beside the original, N growing, up to a maximum number of
//! files.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};

use crate::file_system::FileSystem;
use crate::reason::SetAsideReason;

/// Renames the file to its next `.aside-N` name and deletes the oldest files over `max_files`.
pub(crate) fn rename_aside(
    files: &dyn FileSystem,
    path: &Path,
    max_files: u8,
) -> io::Result<Vec<SetAsideReason>> {
    preserve(files, path, max_files, |to| files.rename(path, to))
}

/// Copies the file to its next `.aside-N` name and syncs the copy. An incomplete copy is deleted, since it would take
/// the slot of a complete one.
pub(crate) fn copy_aside(
    files: &dyn FileSystem,
    path: &Path,
    max_files: u8,
) -> io::Result<Vec<SetAsideReason>> {
    preserve(files, path, max_files, |to| {
        files.copy(path, to).inspect_err(|_| {
            // The error of the copy is returned; the file to remove may not exist.
            let _ = files.remove(to);
        })
    })
}

/// Syncs the file's folder, which makes renames, new files and deletions in it durable.
pub(crate) fn sync_folder(files: &dyn FileSystem, path: &Path) -> io::Result<()> {
    files.sync_folder(parent_folder(path))
}

/// The path with `suffix` appended to its file name.
pub(crate) fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}

fn preserve(
    files: &dyn FileSystem,
    path: &Path,
    max_files: u8,
    transfer: impl FnOnce(&Path) -> io::Result<()>,
) -> io::Result<Vec<SetAsideReason>> {
    let mut numbers = aside_numbers(files, path)?;
    let next = numbers.last().map_or(Some(1), |last| last.checked_add(1));
    let next = next.ok_or_else(|| io::Error::other("no number is left for another .aside file"))?;
    let to = aside_path(path, next);
    transfer(&to)?;
    numbers.retain(|number| *number != next);
    numbers.push(next);
    let mut reasons = vec![SetAsideReason::PreservedAs(to)];
    let excess = numbers.len().saturating_sub(usize::from(max_files.max(1)));
    for number in &numbers[..excess] {
        let old = aside_path(path, *number);
        files.remove(&old)?;
        reasons.push(SetAsideReason::DeletedOldest(old));
    }
    sync_folder(files, path)?;
    Ok(reasons)
}

fn aside_path(path: &Path, number: u32) -> PathBuf {
    with_suffix(path, &format!(".aside-{number}"))
}

/// Numbers N of the existing `.aside-N` files, in ascending order.
fn aside_numbers(files: &dyn FileSystem, path: &Path) -> io::Result<Vec<u32>> {
    let Some(name) = path.file_name() else { return Ok(Vec::new()) };
    let mut prefix = OsString::from(name);
    prefix.push(".aside-");
    let mut numbers = Vec::new();
    for name in files.names(parent_folder(path))? {
        let number = name.to_string_lossy();
        if let Some(number) = number.strip_prefix(&*prefix.to_string_lossy()) {
            numbers.extend(number.parse::<u32>());
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn parent_folder(path: &Path) -> &Path {
    match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    }
}
