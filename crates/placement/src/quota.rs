//! Guaranteed shapes and the physical cells that they are bound to.
//!
//! While any part of a guaranteed shape is claimed, the whole shape is bound to one
//! physical cell. The rest of that cell stays reserved for the account, though
//! borrowers may use it until it is claimed. The state is safe while all unbound
//! shapes can be packed outside the bound cells. Binding a shape to the smallest
//! maximal cell that can contain it keeps a safe state safe.

use crate::grid::Cell;
use crate::grid::Grid;
use crate::grid::WorkerKey;
use crate::grid::enclosing_shape;
use crate::shape::CellCounts;
use crate::shape::Shape;
use crate::shape::ShapeCount;
use smol_str::SmolStr;

/// An account with its weight and its guarantee.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// The unique name.
    pub name: SmolStr,
    /// The share of borrowed capacity, relative to the weights of other accounts.
    pub weight: u32,
    /// The guaranteed shapes.
    pub quota: Vec<ShapeCount>,
}

/// The reason for which new guarantees are refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum QuotaError {
    /// The workers in service cannot pack the shapes, even if all are idle.
    #[error("the hardware cannot pack the guarantees: missing {0:?}")]
    ExceedsHardware(Vec<ShapeCount>),
    /// The shapes cannot be packed until jobs with claims end.
    #[error("claims in progress leave too little free capacity for the guarantees: missing {0:?}")]
    BlockedByClaims(Vec<ShapeCount>),
    /// A guarantee would shrink.
    #[error(
        "the guarantee of account {account} would shrink from {current} to {requested} x {shape:?}"
    )]
    Shrinks {
        /// The account.
        account: SmolStr,
        /// The shape.
        shape: Shape,
        /// The number guaranteed now.
        current: u32,
        /// The number in the new guarantee.
        requested: u32,
    },
}

#[derive(Clone, Debug)]
struct Account {
    spec: AccountSpec,
    total: CellCounts,
    unbound: CellCounts,
    bindings: Vec<Cell>,
}

/// The guarantees of all accounts and their bindings to physical cells.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    accounts: Vec<Account>,
    /// The sum of the unbound shapes of all accounts.
    unbound: CellCounts,
}

impl Quotas {
    /// Replaces the guarantees.
    ///
    /// Fails without any change if a guarantee would shrink, if the hardware
    /// cannot pack all of them, or if current claims prevent it.
    pub fn update(&mut self, grid: &Grid, specs: Vec<AccountSpec>) -> Result<(), QuotaError> {
        self.check_growth(&specs)?;
        let totals: Vec<CellCounts> = specs.iter().map(total_of).collect();
        let mut sum = CellCounts::default();
        totals.iter().for_each(|t| sum.add_all(t));
        if !grid.total().packs(&sum) {
            return Err(QuotaError::ExceedsHardware(
                grid.total().missing(&sum).into(),
            ));
        }
        let mut needs = sum;
        for account in &self.accounts {
            needs.sub_all(&account.total);
        }
        needs.add_all(&self.unbound);
        if !grid.unbound().packs(&needs) {
            return Err(QuotaError::BlockedByClaims(
                grid.unbound().missing(&needs).into(),
            ));
        }
        self.replace(specs);
        Ok(())
    }

    /// Replaces the guarantees without checking that the hardware can pack them.
    ///
    /// Used for a configuration that was accepted before, since some hardware may be
    /// out of service now; [`Quotas::shortfall`] returns what cannot be packed.
    pub fn restore(&mut self, specs: Vec<AccountSpec>) -> Result<(), QuotaError> {
        self.check_growth(&specs)?;
        self.replace(specs);
        Ok(())
    }

    fn check_growth(&self, specs: &[AccountSpec]) -> Result<(), QuotaError> {
        for account in &self.accounts {
            let spec = specs.iter().find(|s| s.name == account.spec.name);
            let requested = spec.map(total_of).unwrap_or_default();
            for shape in Shape::ALL {
                if requested.get(shape) < account.total.get(shape) {
                    return Err(QuotaError::Shrinks {
                        account: account.spec.name.clone(),
                        shape,
                        current: account.total.get(shape),
                        requested: requested.get(shape),
                    });
                }
            }
        }
        Ok(())
    }

    fn replace(&mut self, specs: Vec<AccountSpec>) {
        for spec in specs {
            let total = total_of(&spec);
            match self.accounts.iter_mut().find(|a| a.spec.name == spec.name) {
                Some(account) => {
                    let mut growth = total;
                    growth.sub_all(&account.total);
                    account.unbound.add_all(&growth);
                    self.unbound.add_all(&growth);
                    account.total = total;
                    account.spec = spec;
                }
                None => {
                    self.unbound.add_all(&total);
                    self.accounts.push(Account {
                        spec,
                        total,
                        unbound: total,
                        bindings: Vec::new(),
                    });
                }
            }
        }
    }

    /// Returns the index of the account with this name.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.accounts.iter().position(|a| a.spec.name == name)
    }

    /// Returns the weight and the guarantee of an account.
    pub fn spec(&self, account: usize) -> &AccountSpec {
        &self.accounts[account].spec
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the shapes of one account that are not bound.
    pub fn unbound_of(&self, account: &str) -> CellCounts {
        let index = self.index(account);
        index.map_or(CellCounts::default(), |i| self.accounts[i].unbound)
    }

    /// Returns the shapes of all accounts that are not bound.
    pub fn unbound(&self) -> &CellCounts {
        &self.unbound
    }

    /// Returns whether all unbound shapes could be bound by preempting borrowers.
    pub fn is_safe(&self, grid: &Grid) -> bool {
        grid.unbound().packs(&self.unbound)
    }

    /// Returns the guaranteed shapes that the hardware in service cannot pack.
    pub fn shortfall(&self, grid: &Grid) -> CellCounts {
        grid.unbound().missing(&self.unbound)
    }

    /// Claims cells for a whole gang under the account's guarantee.
    ///
    /// Returns `None` and changes nothing if the unclaimed guarantee does not cover
    /// the gang. The caller preempts any borrowers on the cells.
    pub fn claim(
        &mut self,
        grid: &mut Grid,
        account: usize,
        shape: Shape,
        count: u32,
    ) -> Option<Vec<Cell>> {
        let mut cells = Vec::with_capacity(count as usize);
        while cells.len() < count as usize {
            let Some(cell) = self.next_cell(grid, account, shape) else {
                self.release(grid, account, &cells);
                return None;
            };
            grid.claim(cell);
            cells.push(cell);
        }
        Some(cells)
    }

    fn next_cell(&mut self, grid: &mut Grid, account: usize, shape: Shape) -> Option<Cell> {
        if let Some(cell) = self.cell_within(grid, account, shape) {
            return Some(cell);
        }
        let bound_shape = Shape::ALL
            .into_iter()
            .find(|s| *s >= shape && self.accounts[account].unbound.get(*s) > 0)?;
        let cell = self.choose_binding(grid, bound_shape)?;
        grid.bind(cell);
        self.accounts[account].unbound.sub(bound_shape, 1);
        self.unbound.sub(bound_shape, 1);
        self.accounts[account].bindings.push(cell);
        self.cell_within(grid, account, shape)
    }

    /// Returns the unclaimed cell inside the account's bindings with the tightest fit.
    fn cell_within(&self, grid: &Grid, account: usize, shape: Shape) -> Option<Cell> {
        let mut best = None;
        for binding in &self.accounts[account].bindings {
            let free = binding.mask & !grid.claimed_mask(binding.worker);
            for mask in shape.masks().filter(|m| free & m == *m) {
                let cell = Cell {
                    worker: binding.worker,
                    mask,
                };
                let used = (grid.used_mask(binding.worker) & mask).count_ones();
                let key = (enclosing_shape(free, mask), used, cell);
                if best.is_none_or(|b| key < b) {
                    best = Some(key);
                }
            }
        }
        best.map(|(_, _, cell)| cell)
    }

    /// Chooses the cell to bind a guaranteed shape to: among those that keep the state
    /// safe, the one with the fewest borrowed accelerators, then the tightest fit.
    fn choose_binding(&self, grid: &Grid, bound_shape: Shape) -> Option<Cell> {
        let tightest = Shape::ALL
            .into_iter()
            .find(|s| *s >= bound_shape && grid.unbound().get(*s) > 0)?;
        let allowed = self.safe_shapes(grid, bound_shape, tightest);
        let mut best: Option<(u32, Shape, Cell)> = None;
        for worker in grid.workers() {
            let free = grid.unbound_mask(worker);
            if free.count_ones() < bound_shape.accelerators() {
                continue;
            }
            for mask in bound_shape.masks().filter(|m| free & m == *m) {
                let Some(enclosing) = enclosing_shape(free, mask).filter(|c| allowed[*c as usize])
                else {
                    continue;
                };
                let cost = (grid.used_mask(worker) & mask).count_ones();
                let key = (cost, enclosing, Cell { worker, mask });
                if best.is_none_or(|b| key < b) {
                    best = Some(key);
                }
            }
        }
        best.map(|(_, _, cell)| cell)
    }

    /// Returns which shapes of maximal free cells can be split for a binding so that
    /// the state stays safe.
    fn safe_shapes(&self, grid: &Grid, bound_shape: Shape, tightest: Shape) -> [bool; 4] {
        let mut remaining = self.unbound;
        remaining.sub(bound_shape, 1);
        Shape::ALL.map(|enclosing| {
            let available = enclosing >= bound_shape && grid.unbound().get(enclosing) > 0;
            available
                && (enclosing == tightest
                    || grid
                        .unbound()
                        .split(enclosing, bound_shape)
                        .packs(&remaining))
        })
    }

    /// Releases claimed cells and removes the bindings that have no claims left.
    pub fn release(&mut self, grid: &mut Grid, account: usize, cells: &[Cell]) {
        for cell in cells {
            if grid.is_up(cell.worker) {
                grid.unclaim(*cell);
            }
        }
        let mut retained = Vec::new();
        for binding in std::mem::take(&mut self.accounts[account].bindings) {
            if grid.claimed_mask(binding.worker) & binding.mask != 0 {
                retained.push(binding);
                continue;
            }
            grid.unbind(binding);
            self.unbind(account, binding);
        }
        self.accounts[account].bindings = retained;
    }

    /// Removes the bindings on a worker that goes out of service.
    pub fn drop_worker(&mut self, worker: WorkerKey) {
        for account in 0..self.accounts.len() {
            let bindings = std::mem::take(&mut self.accounts[account].bindings);
            let (lost, retained): (Vec<_>, Vec<_>) =
                bindings.into_iter().partition(|b| b.worker == worker);
            self.accounts[account].bindings = retained;
            lost.into_iter().for_each(|b| self.unbind(account, b));
        }
    }

    fn unbind(&mut self, account: usize, binding: Cell) {
        let shape = Shape::ALL[binding.mask.count_ones().ilog2() as usize];
        self.accounts[account].unbound.add(shape, 1);
        self.unbound.add(shape, 1);
    }

    /// Claims exactly the cells that a running gang holds, after a change of placer.
    ///
    /// Returns `false` and changes nothing if the account's guarantee does not cover them.
    pub fn adopt(&mut self, grid: &mut Grid, account: usize, cells: &[Cell]) -> bool {
        let snapshot = (self.clone(), grid.clone());
        for cell in cells {
            if !self.adopt_cell(grid, account, *cell) {
                (*self, *grid) = snapshot;
                return false;
            }
        }
        true
    }

    fn adopt_cell(&mut self, grid: &mut Grid, account: usize, cell: Cell) -> bool {
        let inside = |b: &Cell| b.worker == cell.worker && b.mask & cell.mask == cell.mask;
        if self.accounts[account].bindings.iter().any(inside) {
            grid.claim(cell);
            return true;
        }
        let shape = Shape::ALL[cell.mask.count_ones().ilog2() as usize];
        let free = grid.unbound_mask(cell.worker);
        for bound_shape in Shape::ALL.into_iter().filter(|s| *s >= shape) {
            let mask = bound_shape.masks().find(|m| m & cell.mask == cell.mask);
            let fits = mask.filter(|m| free & m == *m);
            let Some(mask) = fits.filter(|_| self.accounts[account].unbound.get(bound_shape) > 0)
            else {
                continue;
            };
            let binding = Cell {
                worker: cell.worker,
                mask,
            };
            let mut remaining = self.unbound;
            remaining.sub(bound_shape, 1);
            let enclosing = enclosing_shape(free, mask).unwrap_or(bound_shape);
            // A gang that holds its cells does not lose its guarantee over a shortfall that is
            // there without it.
            let lacking = self.shortfall(grid).accelerators();
            let split = grid.unbound().split(enclosing, bound_shape);
            if split.missing(&remaining).accelerators() > lacking {
                continue;
            }
            grid.bind(binding);
            self.unbound = remaining;
            self.accounts[account].unbound.sub(bound_shape, 1);
            self.accounts[account].bindings.push(binding);
            grid.claim(cell);
            return true;
        }
        false
    }
}

fn total_of(spec: &AccountSpec) -> CellCounts {
    spec.quota.iter().copied().collect()
}
