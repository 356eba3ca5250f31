//! Printed lines and CSV table of slopes, and the catalogue of parts.

use rstest::rstest;

use apricotdale_slopes::Error;
use apricotdale_slopes::Slope;
use apricotdale_slopes::catalogue;
use apricotdale_slopes::slope::Unit;
use apricotdale_slopes::slope::write_table;

fn doubled(sizes: &[usize]) -> Result<Slope, Error> {
    let cost = |size| Ok(3.0 + 2.0 * size as f64);
    Slope::measure("doubled", Unit::Bytes, "item", sizes, cost)
}

#[test]
fn line_format() {
    let slope = doubled(&[1, 2, 4]).expect("three sizes");
    let expected = "slope=doubled unit=B per=item value=2.0000 intercept=3.000 r2=1.0000 \
        points=1:5.000,2:7.000,4:11.000";
    assert_eq!(slope.to_string(), expected);
}

#[rstest]
#[case::none(&[])]
#[case::one(&[7])]
#[case::same(&[7, 7])]
fn too_few_sizes(#[case] sizes: &[usize]) {
    assert!(matches!(
        doubled(sizes),
        Err(Error::TooFewPoints("doubled"))
    ));
}

#[test]
fn table_rows() {
    let slopes = vec![doubled(&[1, 2]).expect("two sizes"); 2];
    let mut table = Vec::new();
    write_table(&slopes, &mut table).expect("a table in memory");
    let table = String::from_utf8(table).expect("text");
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines[0], "slope,unit,per,value,intercept,r2,points");
    assert_eq!(lines[1], r#"doubled,B,item,2.0,3.0,1.0,"1:5.000,2:7.000""#);
    assert_eq!(lines.len(), 3);
}

#[test]
fn parts_by_name() {
    let all = catalogue::parts(&[]).expect("all parts");
    assert_eq!(all.len(), catalogue::PARTS.len());
    let two = ["settings".to_owned(), "memory".to_owned()];
    let two = catalogue::parts(&two).expect("two parts");
    assert_eq!(two[0].name, "memory", "memory is measured first");
    let unknown = catalogue::parts(&["memori".to_owned()]);
    assert!(matches!(unknown, Err(Error::UnknownPart { .. })));
}
