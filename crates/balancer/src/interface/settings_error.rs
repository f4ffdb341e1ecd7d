//! Errors in settings.

/// A missing or invalid setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The settings are not a JSON object.
    #[error("settings: a JSON object expected")]
    NotAnObject,
    /// A list contains a value that is not an object.
    #[error("setting {setting}: objects expected")]
    NotObjects {
        /// Name of the list.
        setting: &'static str,
    },
    /// A required setting is missing.
    #[error("setting {setting}: missing")]
    Missing {
        /// Name of the setting, with the object that should contain it.
        setting: String,
    },
    /// A setting has the wrong type.
    #[error("setting {setting}: {expected} expected, got {found}")]
    WrongType {
        /// Name of the setting.
        setting: String,
        /// The expected type.
        expected: &'static str,
        /// The value that was found, as JSON.
        found: String,
    },
    /// A setting has none of its known values.
    #[error("setting {setting}: {expected} expected, got {found}")]
    UnknownValue {
        /// Name of the setting.
        setting: &'static str,
        /// The known values.
        expected: &'static str,
        /// The value that was found.
        found: String,
    },
    /// A count exceeds the range of its type.
    #[error("setting {setting}: too many")]
    TooMany {
        /// Name of the setting.
        setting: &'static str,
    },
    /// A list that needs at least one entry is empty, or a count is 0.
    #[error("{what}: at least {expected} expected, got {found}")]
    TooFew {
        /// Name of the list or count.
        what: &'static str,
        /// The smallest allowed number, as the message words it.
        expected: &'static str,
        /// The number that was found.
        found: &'static str,
    },
    /// A class whose latency objective or deadline is 0.
    #[error("class {class}: latency objective and deadline above 0 expected")]
    ClassWithoutTime {
        /// Name of the class.
        class: String,
    },
    /// A duration is negative or not finite.
    #[error("{what}: a time of 0 or more expected, got {found}")]
    InvalidDuration {
        /// Name of the duration.
        what: &'static str,
        /// The value that was found, in seconds.
        found: f64,
    },
    /// A share is not above 0 and at most 1.
    #[error("{what}: a share above 0 and up to 1 expected, got {found}")]
    InvalidShare {
        /// Name of the share.
        what: &'static str,
        /// The value that was found.
        found: f64,
    },
}
