//! Finds idle cells for a gang that borrows.

use crate::grid::Cell;
use crate::grid::Grid;
use crate::grid::WorkerKey;
use crate::grid::enclosing_shape;
use crate::shape::Shape;

/// Finds cells for a whole gang in the masks that `usable` returns for each worker.
///
/// With `best_fit`, a gang of several members goes into one rack if possible, else
/// into one failure domain, in each case the one with the fewest cells that suffice.
/// Within it, cells that split smaller free cells are preferred.
pub(super) fn find_cells(
    grid: &Grid,
    usable: impl Fn(WorkerKey) -> u8,
    shape: Shape,
    count: u32,
    best_fit: bool,
) -> Option<Vec<Cell>> {
    if grid.idle() < shape.accelerators() * count {
        return None;
    }
    let cells = candidates(grid, usable, shape);
    if cells.len() < count as usize {
        return None;
    }
    if !best_fit {
        return Some(
            cells
                .into_iter()
                .take(count as usize)
                .map(|c| c.cell)
                .collect(),
        );
    }
    let scope = tightest_scope(grid, &cells, count);
    let mut cells: Vec<_> = cells
        .into_iter()
        .filter(|c| scope.contains(grid, c))
        .collect();
    if count == 1 {
        return cells.iter().min().map(|c| vec![c.cell]);
    }
    cells.sort_unstable();
    Some(
        cells
            .into_iter()
            .take(count as usize)
            .map(|c| c.cell)
            .collect(),
    )
}

/// A cell that fits a member of the gang, ordered by preference.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Candidate {
    /// The shape of the maximal idle cell that it would split.
    enclosing: Option<Shape>,
    /// Whether it lies outside every bound cell. Bound cells are preferred, since a
    /// borrower there can only delay claims of the account that they are bound to.
    unbound: bool,
    cell: Cell,
}

fn candidates(grid: &Grid, usable: impl Fn(WorkerKey) -> u8, shape: Shape) -> Vec<Candidate> {
    let mut cells = Vec::new();
    for worker in grid.workers() {
        let idle = usable(worker);
        if idle.count_ones() < shape.accelerators() {
            continue;
        }
        for mask in shape.masks().filter(|m| idle & m == *m) {
            cells.push(Candidate {
                enclosing: enclosing_shape(idle, mask),
                unbound: grid.bound_mask(worker) & mask == 0,
                cell: Cell { worker, mask },
            });
        }
    }
    cells
}

enum Scope {
    Rack(u32),
    Domain(u32),
    Region,
}

impl Scope {
    fn contains(&self, grid: &Grid, candidate: &Candidate) -> bool {
        let (rack, domain) = grid.location(candidate.cell.worker);
        match self {
            Scope::Rack(r) => *r == rack,
            Scope::Domain(d) => *d == domain,
            Scope::Region => true,
        }
    }
}

fn tightest_scope(grid: &Grid, cells: &[Candidate], count: u32) -> Scope {
    if count == 1 {
        return Scope::Region;
    }
    let racks = count_by_group(cells.iter().map(|c| grid.location(c.cell.worker).0));
    if let Some(rack) = smallest_sufficient(&racks, count) {
        return Scope::Rack(rack);
    }
    let domains = count_by_group(cells.iter().map(|c| grid.location(c.cell.worker).1));
    smallest_sufficient(&domains, count).map_or(Scope::Region, Scope::Domain)
}

fn count_by_group(groups: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut counts = Vec::new();
    for group in groups {
        if counts.len() <= group as usize {
            counts.resize(group as usize + 1, 0);
        }
        counts[group as usize] += 1;
    }
    counts
}

fn smallest_sufficient(counts: &[u32], need: u32) -> Option<u32> {
    let sufficient = counts.iter().enumerate().filter(|(_, c)| **c >= need);
    sufficient.min_by_key(|(_, c)| **c).map(|(i, _)| i as u32)
}
