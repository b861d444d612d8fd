//! How much of a body the fingerprints of its request cover.

use lynxcleat_policy::BodyCoverage;
use rstest::rstest;

const LIMIT: usize = 100;

/// Its chunks decide how much of a body is read at once, and must not decide what names it.
#[rstest]
#[case::empty(0, BodyCoverage::Whole)]
#[case::as_long_as_the_limit(LIMIT, BodyCoverage::Whole)]
#[case::one_byte_more(LIMIT + 1, BodyCoverage::Beginning { length: None })]
#[case::a_chunk_more(3 * LIMIT, BodyCoverage::Beginning { length: None })]
fn a_body_is_covered_whole_up_to_the_limit(
    #[case] available: usize,
    #[case] expected: BodyCoverage,
) {
    assert_eq!(BodyCoverage::of_read(available, LIMIT, None), expected);
}

#[test]
fn a_longer_body_is_told_by_its_stated_length() {
    let covered = BodyCoverage::of_read(LIMIT + 1, LIMIT, Some(5_000));
    let length = Some(5_000);
    assert_eq!(covered, BodyCoverage::Beginning { length });
}

/// Everyone's uploads to a path would be refused by fingerprints that cover no body.
#[rstest]
#[case::whole(BodyCoverage::Whole, true)]
#[case::beginning(BodyCoverage::Beginning { length: None }, true)]
#[case::not_read(BodyCoverage::Nothing, false)]
fn a_body_that_was_not_read_identifies_no_request(
    #[case] coverage: BodyCoverage,
    #[case] expected: bool,
) {
    assert_eq!(coverage.identifies_request(), expected);
}
