//! The fits behind the capacity page.

use bench::slopes::{Point, fit};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|&(x, y)| Point { x, y }).collect()
}

#[test]
fn a_fit_finds_base_slope_and_residual() {
    let exact = fit(&points(&[(4.0, 11.0), (8.0, 19.0), (16.0, 35.0)]));
    assert!((exact.base - 3.0).abs() < 1e-9, "{exact:?}");
    assert!((exact.slope - 2.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.residual < 1e-9, "{exact:?}");

    let scattered = fit(&points(&[(0.0, 1.0), (0.0, -1.0), (2.0, 5.0), (2.0, 3.0)]));
    assert!((scattered.slope - 2.0).abs() < 1e-9, "{scattered:?}");
    assert!((scattered.residual - 1.0).abs() < 1e-9, "{scattered:?}");
}

#[test]
fn points_at_one_place_give_a_flat_line() {
    let flat = fit(&points(&[(3.0, 1.0), (3.0, 5.0)]));
    assert!(flat.slope.abs() < 1e-9, "{flat:?}");
    assert!((flat.base - 3.0).abs() < 1e-9, "{flat:?}");
}
