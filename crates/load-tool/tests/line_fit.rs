//! Least-squares line through measured points.

use rstest::rstest;

use apricotdale_load_tool::line_fit::LineFit;

#[rstest]
#[case::exact(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)], 2.0, 1.0, 1.0)]
#[case::flat(&[(1.0, 3.0), (2.0, 3.0)], 0.0, 3.0, 1.0)]
#[case::scattered(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)], 0.5, 0.5, 0.25)]
fn least_squares_line(
    #[case] points: &[(f64, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
    #[case] r2: f64,
) {
    let line = LineFit::fit(points).expect("the points have different x");
    let expected = [slope, intercept, r2, intercept + 10.0 * slope];
    let found = [line.slope, line.intercept, line.r2, line.at(10.0)];
    for (found, expected) in found.iter().zip(expected) {
        assert!((found - expected).abs() < 1e-9, "{line:?}");
    }
}

#[rstest]
#[case::no_point(&[])]
#[case::one_point(&[(1.0, 3.0)])]
#[case::one_x(&[(1.0, 3.0), (1.0, 5.0)])]
fn too_few_points(#[case] points: &[(f64, f64)]) {
    assert_eq!(LineFit::fit(points), None);
}
