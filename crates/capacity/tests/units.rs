//! Numbers as the page writes them.

use gradeshunt_capacity::units::{number, Unit};

#[test]
fn numbers_have_three_digits_or_are_whole() {
    let cases = [
        (0.0, "0"),
        (0.0001234, "1.23e-4"),
        (0.00123, "0.00123"),
        (0.0999, "0.0999"),
        (0.09996, "0.1"),
        (0.5, "0.5"),
        (1.0, "1"),
        (9.994, "9.99"),
        (9.996, "10"),
        (29.85, "29.9"),
        (99.94, "99.9"),
        (99.96, "100"),
        (999.6, "1,000"),
        (19e6, "19,000,000"),
        (-1234.5, "-1,235"),
    ];
    for (value, text) in cases {
        assert_eq!(number(value), text);
    }
}

#[test]
fn units_are_scaled() {
    assert_eq!(Unit::Bytes.show(1.1256e6), "1.13 MB");
    assert_eq!(Unit::Bytes.show(170.0), "170 B");
    assert_eq!(Unit::BytesPerSecond.show(16e3), "16 KB/s");
    assert_eq!(Unit::Seconds.show(299e-6), "299 us");
    assert_eq!(Unit::Seconds.show(0.024), "24 ms");
    assert_eq!(Unit::Seconds.show(70.4), "70.4 s");
    assert_eq!(Unit::Cores.show(0.036), "3.6% of a core");
    assert_eq!(Unit::Cores.show(2.55), "2.55 cores");
    assert_eq!(Unit::Share.show(0.01), "1%");
    assert_eq!(Unit::PerSecond.show(486.0), "486/s");
}
