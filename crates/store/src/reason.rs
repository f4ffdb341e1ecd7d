//! Reasons why a state, or a section of one, is set aside. The `Display` text is the log line.

use std::path::PathBuf;
use std::time::Duration;

use hallpin_membership::names::NodeId;

use crate::names::Section;

/// Why a state is set aside. Data that is set aside is never used, and never deleted without an entry of this type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetAsideReason {
    /// The file or a row fails its checksum, or is no database of this program.
    #[error("stored state set aside: corrupt: {0}")]
    Corrupt(String),
    /// The file is longer than its limit.
    #[error("stored state set aside: the file has {found} bytes, at most {bound} expected")]
    TooLarge {
        /// Length of the file in bytes.
        found: u64,
        /// Maximum length in bytes.
        bound: u64,
    },
    /// The state belongs to another federation.
    #[error("stored state set aside: of realm {found:#010x}, this node is of {this:#010x}")]
    OtherRealm {
        /// The realm in the state.
        found: u32,
        /// This node's realm.
        this: u32,
    },
    /// The state belongs to another node.
    #[error("stored state set aside: of node {}, this is node {}", found.0, this.0)]
    OtherNode {
        /// The node in the state.
        found: NodeId,
        /// This node.
        this: NodeId,
    },
    /// A newer program wrote the state or the section.
    #[error("stored state set aside: {} of format {found}, this program reads up to {supported}",
        section_name(*section))]
    NewerFormat {
        /// The section, or `None` for the state as a whole.
        section: Option<Section>,
        /// The format found.
        found: u16,
        /// The newest format that this program reads.
        supported: u16,
    },
    /// The checksum matches, but the content cannot be decoded.
    #[error("stored state set aside: {} cannot be decoded", section_name(*section))]
    Unreadable {
        /// The section, or `None` for the state as a whole.
        section: Option<Section>,
    },
    /// The snapshot was taken later than now by the wall clock.
    #[error(
        "stored state set aside: taken {ahead:?} in the future, at most {allowed:?} allowed for the clock"
    )]
    FromTheFuture {
        /// How far in the future the snapshot was taken.
        ahead: Duration,
        /// Maximum allowed, for a clock that steps back.
        allowed: Duration,
    },
    /// The section is older than its maximum age.
    #[error("stored state set aside: {section:?} is {age:?} old, at most {bound:?} expected")]
    TooOld {
        /// The section.
        section: Section,
        /// Its age.
        age: Duration,
        /// Maximum age.
        bound: Duration,
    },
    /// Peers hold a newer epoch.
    #[error("stored state set aside: of epoch {stored}, peers hold {held}")]
    OlderEpoch {
        /// The epoch in the state.
        stored: u64,
        /// The epoch that peers hold.
        held: u64,
    },
    /// The file under which the state that was set aside is kept.
    #[error("stored state set aside: kept as {}", .0.display())]
    PreservedAs(PathBuf),
    /// No copy could be made, or the rest of the state could not be written; a later commit tries again.
    #[error("stored state set aside: not yet kept: {0}")]
    NotPreserved(String),
    /// The oldest file that was set aside is deleted, to stay within the maximum number of files.
    #[error("stored state set aside earlier is deleted to make room: {}", .0.display())]
    DeletedOldest(PathBuf),
}

impl SetAsideReason {
    /// Whether nothing of the file may be used, the incarnation included: its owner is unknown or is not this node.
    pub fn affects_whole_file(&self) -> bool {
        matches!(
            self,
            SetAsideReason::Corrupt(_)
                | SetAsideReason::TooLarge { .. }
                | SetAsideReason::OtherRealm { .. }
                | SetAsideReason::OtherNode { .. }
                | SetAsideReason::NewerFormat { section: None, .. }
                | SetAsideReason::Unreadable { section: None }
        )
    }
}

fn section_name(section: Option<Section>) -> String {
    section.map_or_else(|| "the file".to_owned(), |section| format!("{section:?}"))
}
