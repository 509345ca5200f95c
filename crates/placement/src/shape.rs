//! Shapes of adjacent accelerators and counts of them.

use serde::Deserialize;
use serde::Serialize;

/// The size of a cell of adjacent accelerators, from small to large.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// One accelerator.
    Accelerator,
    /// Two accelerators that share a link.
    Pair,
    /// Four accelerators that share a switch.
    Quad,
    /// All eight accelerators of a worker.
    Worker,
}

impl Shape {
    /// Lists every shape from small to large.
    pub const ALL: [Shape; 4] = [Shape::Accelerator, Shape::Pair, Shape::Quad, Shape::Worker];

    /// Returns the number of accelerators of the shape.
    pub const fn accelerators(self) -> u32 {
        1 << self as u32
    }

    /// Returns the masks of the aligned positions of the shape on a worker.
    pub fn masks(self) -> impl Iterator<Item = u8> {
        let width = self.accelerators();
        let base = ((1u16 << width) - 1) as u8;
        (0..8 / width).map(move |i| base << (i * width))
    }
}

/// A number of cells of one shape.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShapeCount {
    /// The shape.
    pub shape: Shape,
    /// The number of cells.
    pub count: u32,
}

/// The number of cells of each shape, in the order of [`Shape::ALL`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CellCounts([u32; 4]);

impl CellCounts {
    /// Returns the count of a shape.
    pub fn get(&self, shape: Shape) -> u32 {
        self.0[shape as usize]
    }

    /// Adds to the count of a shape.
    pub fn add(&mut self, shape: Shape, count: u32) {
        self.0[shape as usize] += count;
    }

    /// Subtracts from the count of a shape, which must be at least as large.
    pub fn sub(&mut self, shape: Shape, count: u32) {
        self.0[shape as usize] -= count;
    }

    /// Adds every count of another.
    pub fn add_all(&mut self, other: &CellCounts) {
        for shape in Shape::ALL {
            self.add(shape, other.get(shape));
        }
    }

    /// Subtracts every count of another.
    pub fn sub_all(&mut self, other: &CellCounts) {
        for shape in Shape::ALL {
            self.sub(shape, other.get(shape));
        }
    }

    /// Returns the number of accelerators in all cells together.
    pub fn accelerators(&self) -> u32 {
        Shape::ALL
            .iter()
            .map(|s| s.accelerators() * self.get(*s))
            .sum()
    }

    /// Counts the maximal free cells of a worker whose free accelerators are `free`.
    ///
    /// A free cell is maximal if no larger free cell contains it.
    pub fn of_mask(free: u8) -> Self {
        let mut counts = CellCounts::default();
        let mut remaining = free;
        for shape in Shape::ALL.into_iter().rev() {
            for mask in shape.masks() {
                if remaining & mask == mask {
                    counts.add(shape, 1);
                    remaining &= !mask;
                }
            }
        }
        counts
    }

    /// Returns how many of each needed shape cannot be packed into these free cells.
    ///
    /// Cells split into halves, so packing the largest shapes first is exact.
    pub fn missing(&self, needs: &CellCounts) -> CellCounts {
        let mut missing = CellCounts::default();
        let mut spare = 0;
        for shape in Shape::ALL.into_iter().rev() {
            let have = self.get(shape) + spare * 2;
            let need = needs.get(shape);
            missing.add(shape, need.saturating_sub(have));
            spare = have.saturating_sub(need);
        }
        missing
    }

    /// Returns whether all needed shapes can be packed into these free cells.
    pub fn packs(&self, needs: &CellCounts) -> bool {
        self.missing(needs) == CellCounts::default()
    }

    /// Returns the counts after a cell of `shape` is split off a cell of `whole`.
    pub fn split(&self, whole: Shape, shape: Shape) -> Self {
        let mut counts = *self;
        counts.sub(whole, 1);
        for part in Shape::ALL {
            if part >= shape && part < whole {
                counts.add(part, 1);
            }
        }
        counts
    }
}

impl FromIterator<ShapeCount> for CellCounts {
    fn from_iter<I: IntoIterator<Item = ShapeCount>>(entries: I) -> Self {
        let mut counts = CellCounts::default();
        for entry in entries {
            counts.add(entry.shape, entry.count);
        }
        counts
    }
}

impl From<CellCounts> for Vec<ShapeCount> {
    fn from(counts: CellCounts) -> Self {
        let entry = |shape| ShapeCount {
            shape,
            count: counts.get(shape),
        };
        Shape::ALL
            .into_iter()
            .map(entry)
            .filter(|e| e.count > 0)
            .collect()
    }
}
