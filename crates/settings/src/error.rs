//! Typed faults of a tree, each with the path at which it stands.

use std::ops::RangeInclusive;

use thiserror::Error;

/// What is wrong at one path of a tree.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Fault {
    /// The field is not one of [`crate::FIELDS`].
    #[error("unknown field; `lynxcleat settings fields` lists the known ones")]
    UnknownField,
    /// A key of the tree's own structure is not known.
    #[error(
        "unknown key; expected `settings`, `places`, `services`, `routes` or `organisations` for this level"
    )]
    UnknownKey,
    /// The JSON type is not the one the field takes.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// The kind of value the field takes.
        expected: String,
        /// The kind of value that was found.
        found: &'static str,
    },
    /// A number is outside the field's range.
    #[error("{found} {unit} is outside {min}..={max} {unit}")]
    OutOfRange {
        /// The number found.
        found: u64,
        /// Lowest value allowed.
        min: u64,
        /// Highest value allowed.
        max: u64,
        /// Unit of the field.
        unit: &'static str,
    },
    /// A word is not among those the field takes.
    #[error("{found:?} is not one of {allowed}")]
    NotAChoice {
        /// The word found.
        found: String,
        /// The words allowed, joined by commas.
        allowed: String,
    },
    /// A place or service has a name that could not stand in a host name.
    #[error("a name has 1 to 63 of a-z, 0-9 and '-', and starts with a letter")]
    BadName,
    /// A path given by an operator does not lead to a field.
    #[error("not a path to a field; write root.FIELD, places.P.FIELD or places.P.services.S.FIELD")]
    BadPath,
    /// A route does not have the form of one.
    #[error("not a route: {0}")]
    BadRoute(String),
    /// The value is not a valid organisation.
    #[error("not an organisation: {0}")]
    BadOrganisation(String),
    /// The name of an organisation is not valid in a header.
    #[error(
        "an organisation's name must have 1 to 128 characters from a-z, A-Z, 0-9, '-', '_' and '.'"
    )]
    BadOrganisationName,
    /// A key belongs to two organisations.
    #[error("one of its keys is also a key of organisation {other:?}")]
    SharedKey {
        /// The other organisation.
        other: String,
    },
    /// The name of a region is empty, too long, or holds white space.
    #[error("a region's name has 1 to 63 characters without white space")]
    BadRegion,
    /// A region is named in which no place stands.
    #[error("no place stands in region {found:?}; places stand in {known}")]
    UnknownRegion {
        /// The region named.
        found: String,
        /// The regions of the places, joined by commas.
        known: String,
    },
    /// A route's home regions and those of its service have none in common.
    #[error("home regions {route} have none in common with {inherited}, in force at {level}")]
    NoCommonHome {
        /// Home regions of the route, joined by commas.
        route: String,
        /// Home regions in force for the service, joined by commas.
        inherited: String,
        /// Path of the service at the place where they are.
        level: String,
    },
    /// No service of a route is at a place in its home regions.
    #[error("no place in the home regions {homes} has a service of the route")]
    NowhereServed {
        /// The home regions in force for the route, joined by commas.
        homes: String,
    },
    /// Two fields that depend on each other contradict.
    #[error("{0}")]
    Inconsistent(&'static str),
}

impl Fault {
    /// Returns [`Fault::OutOfRange`] if `found` is outside `range`.
    pub(crate) fn check_range(
        found: u64,
        range: RangeInclusive<u64>,
        unit: &'static str,
    ) -> Option<Self> {
        let (min, max) = range.into_inner();
        let is_out_of_range = !(min..=max).contains(&found);
        is_out_of_range.then_some(Fault::OutOfRange {
            found,
            min,
            max,
            unit,
        })
    }
}

/// A tree that was refused, with the first fault found.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The text is not JSON at all.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A fault at a path of the tree.
    #[error("{path}: {fault}")]
    At {
        /// Path of the fault, such as `places.howrah.slots`.
        path: String,
        /// What is wrong there.
        fault: Fault,
    },
}

impl SettingsError {
    /// A fault at `path`.
    pub fn at(path: impl Into<String>, fault: Fault) -> Self {
        SettingsError::At {
            path: path.into(),
            fault,
        }
    }
}
