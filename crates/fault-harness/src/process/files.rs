//! Changes nodes' state folders between two process generations.

use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use crate::spec::StateFolderChange;

/// Applies a change to the state folders of nodes whose processes have ended.
///
/// # Errors
/// Fails if a file cannot be changed.
pub fn apply_state_change(folders: &[PathBuf], state: &StateFolderChange) -> io::Result<()> {
    match state {
        StateFolderChange::Kept => Ok(()),
        StateFolderChange::Lost => folders.iter().try_for_each(|folder| clear(folder)),
        StateFolderChange::Torn => folders.iter().try_for_each(|folder| truncate_files(folder)),
        StateFolderChange::Swapped => rotate(folders),
    }
}

fn clear(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir(folder)
}

/// Cuts off the last half of each file, like a disk that lost its most recent writes.
fn truncate_files(folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            truncate_files(&path)?;
        } else {
            let length = fs::metadata(&path)?.len();
            OpenOptions::new().write(true).open(&path)?.set_len(length / 2)?;
        }
    }
    Ok(())
}

/// Gives each folder the contents of the next one, and the last folder those of the first.
fn rotate(folders: &[PathBuf]) -> io::Result<()> {
    let Some(first) = folders.first() else { return Ok(()) };
    let aside = first.with_extension("aside");
    fs::rename(first, &aside)?;
    for pair in folders.windows(2) {
        if let [to, from] = pair {
            fs::rename(from, to)?;
        }
    }
    let last = folders.last().unwrap_or(first);
    fs::rename(&aside, last)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two folders that contain a file each, with these bytes.
    fn folders(root: &Path, bytes: [&str; 2]) -> Vec<PathBuf> {
        let make = |(at, text): (usize, &&str)| {
            let folder = root.join(format!("state-{at}"));
            fs::create_dir(&folder).unwrap();
            fs::write(folder.join("store"), text).unwrap();
            folder
        };
        bytes.iter().enumerate().map(make).collect()
    }

    fn content(folder: &Path) -> Option<String> {
        fs::read_to_string(folder.join("store")).ok()
    }

    #[test]
    fn state_folders_are_kept_cleared_truncated_or_rotated() {
        for (state, first, second) in [
            (StateFolderChange::Kept, Some("aaaa"), Some("bb")),
            (StateFolderChange::Lost, None, None),
            (StateFolderChange::Torn, Some("aa"), Some("b")),
            (StateFolderChange::Swapped, Some("bb"), Some("aaaa")),
        ] {
            let root = tempfile::tempdir().unwrap();
            let folders = folders(root.path(), ["aaaa", "bb"]);
            apply_state_change(&folders, &state).unwrap();
            let got = [content(&folders[0]), content(&folders[1])];
            assert_eq!(got, [first.map(String::from), second.map(String::from)], "{state:?}");
            assert!(folders.iter().all(|folder| folder.is_dir()));
        }
    }
}
