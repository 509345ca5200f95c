//! Guaranteed shapes and the physical cells that they are bound to.
//!
//! A guaranteed shape of which any part is in use is bound, as a whole, to one
//! physical cell; the rest of that cell stays reserved for the account, though
//! borrowers may use it meanwhile. The state is safe while the shapes that are
//! not bound can all be packed outside the bound cells. Binding a shape to the
//! smallest maximal cell that holds it keeps a safe state safe.

use crate::grid::Cell;
use crate::grid::Grid;
use crate::grid::WorkerKey;
use crate::grid::enclosing_shape;
use crate::shape::CellCounts;
use crate::shape::Shape;
use crate::shape::ShapeCount;
use smol_str::SmolStr;

/// Describes the guarantee of an account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// The unique name.
    pub name: SmolStr,
    /// The share of lent capacity relative to other accounts.
    pub weight: u32,
    /// The guaranteed shapes.
    pub quota: Vec<ShapeCount>,
}

/// Enumerates the reasons for which quotas are refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum QuotaError {
    /// The workers in service can never pack the shapes.
    #[error("the hardware cannot pack the guarantees: missing {0:?}")]
    ExceedsHardware(Vec<ShapeCount>),
    /// Cells in use stand in the way until their jobs end.
    #[error("claims in progress leave no room for the guarantees yet: missing {0:?}")]
    BlockedByClaims(Vec<ShapeCount>),
    /// A guarantee would shrink.
    #[error("account {account} holds {current} x {shape:?} and is offered {requested}")]
    Shrinks {
        /// The account.
        account: SmolStr,
        /// The shape.
        shape: Shape,
        /// The count held.
        current: u32,
        /// The count offered.
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

/// Holds the guarantees of all accounts and their bindings.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    accounts: Vec<Account>,
    unbound: CellCounts,
}

impl Quotas {
    /// Replaces the guarantees, of which none may shrink.
    ///
    /// Fails without any change when a guarantee would shrink, when the
    /// hardware could never pack the whole, or when present claims prevent it.
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

    /// Replaces the guarantees without asking whether the hardware packs them.
    ///
    /// Serves to take over a configuration that was accepted before, when some
    /// hardware may be out of service; [`Quotas::shortfall`] tells what lacks.
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

    /// Returns the index of an account.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.accounts.iter().position(|a| a.spec.name == name)
    }

    /// Returns the description of an account.
    pub fn spec(&self, account: usize) -> &AccountSpec {
        &self.accounts[account].spec
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether there is no account.
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

    /// Tells whether every unbound shape can be had by preempting borrowers.
    pub fn is_safe(&self, grid: &Grid) -> bool {
        grid.unbound().packs(&self.unbound)
    }

    /// Returns the guaranteed shapes that the hardware in service cannot pack.
    pub fn shortfall(&self, grid: &Grid) -> CellCounts {
        grid.unbound().missing(&self.unbound)
    }

    /// Claims cells for a whole gang under the account's guarantee.
    ///
    /// Returns nothing, and changes nothing, when the unclaimed guarantee does
    /// not cover the gang. Borrowers on the cells are the caller's to preempt.
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

    /// Finds an unclaimed cell inside the account's bindings, tightest first.
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

    /// Chooses the physical cell for a shape: fewest borrowed accelerators among
    /// those that leave the state safe, then the tightest fit.
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

    /// Gives claimed cells back; a binding without claims is dissolved.
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

    /// Forgets the bindings on a worker that goes out of service.
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

    /// Claims the very cells that a running gang holds, after a change of placer.
    ///
    /// Returns whether the account's guarantee covers them.
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
            if !grid
                .unbound()
                .split(enclosing, bound_shape)
                .packs(&remaining)
            {
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
