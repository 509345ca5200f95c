//! Packing by counts, checked against an exhaustive search.

use crate::fixtures::*;
use hibiscusbarrow_placement::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed_seed(3000))]

    #[test]
    fn counts_agree_with_search(
        free in prop::collection::vec(any::<u8>(), 1..4),
        shapes in prop::collection::vec(any_shape(), 0..7),
    ) {
        let mut counts = CellCounts::default();
        free.iter().for_each(|mask| counts.add_all(&CellCounts::of_mask(*mask)));
        let mut needs = CellCounts::default();
        shapes.iter().for_each(|shape| needs.add(*shape, 1));

        let packs = counts.packs(&needs);

        prop_assert_eq!(packs, fits_by_search(&free, &shapes));
    }
}

#[test]
fn maximal_cells_of_a_mask_are_aligned() {
    let counts = CellCounts::of_mask(0b0111_1110);

    assert_eq!(counts.get(Shape::Accelerator), 2);
    assert_eq!(counts.get(Shape::Pair), 2);
    assert_eq!(counts.get(Shape::Quad), 0);
}

#[test]
fn splitting_a_cell_leaves_its_halves() {
    let counts = CellCounts::of_mask(0xff);

    let rest = counts.split(Shape::Worker, Shape::Pair);

    assert_eq!(rest.get(Shape::Quad), 1);
    assert_eq!(rest.get(Shape::Pair), 1);
    assert_eq!(rest.accelerators(), 6);
}
