//! The workers of a region and the use of their accelerators.

use crate::shape::CellCounts;
use crate::shape::Shape;
use smol_str::SmolStr;
use std::collections::HashMap;

/// The maximum number of accelerators of a worker.
pub const MAX_ACCELERATORS: u8 = 8;

/// Identifies a worker in its grid.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerKey(pub u32);

/// Identifies a job in its scheduler.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey(pub u32);

/// Adjacent accelerators of one worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cell {
    /// The worker.
    pub worker: WorkerKey,
    /// The accelerators, one bit for each.
    pub mask: u8,
}

/// The name, location and size of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSpec {
    /// The unique name.
    pub name: SmolStr,
    /// The rack.
    pub rack: SmolStr,
    /// The failure domain.
    pub domain: SmolStr,
    /// The number of accelerators, at most eight.
    pub accelerators: u8,
}

impl WorkerSpec {
    /// Creates the description of a worker, limited to eight accelerators.
    pub fn new(
        name: impl Into<SmolStr>,
        rack: impl Into<SmolStr>,
        domain: impl Into<SmolStr>,
        accelerators: u8,
    ) -> Self {
        Self {
            name: name.into(),
            rack: rack.into(),
            domain: domain.into(),
            accelerators: accelerators.min(MAX_ACCELERATORS),
        }
    }
}

#[derive(Clone, Debug)]
struct Node {
    spec: WorkerSpec,
    rack: u32,
    domain: u32,
    up: bool,
    /// Whether the worker is quarantined and therefore closed to borrowers.
    quarantined: bool,
    /// Whether the worker's failure domain is evacuated, which closes it to all new work.
    evacuated: bool,
    /// Accelerators inside cells to which a guaranteed shape is bound.
    bound: u8,
    /// Accelerators that a guaranteed job claims.
    claimed: u8,
    /// Accelerators that a job physically holds.
    used: u8,
    users: [Option<JobKey>; MAX_ACCELERATORS as usize],
}

impl Node {
    fn present(&self) -> u8 {
        if !self.up {
            return 0;
        }
        ((1u16 << self.spec.accelerators) - 1) as u8
    }

    /// Accelerators on which work may be placed.
    fn usable(&self) -> u8 {
        if self.evacuated {
            return 0;
        }
        self.present()
    }

    fn unbound(&self) -> u8 {
        self.usable() & !self.bound
    }

    /// Accelerators that a borrower may use.
    fn idle(&self) -> u8 {
        if self.quarantined {
            return 0;
        }
        self.usable() & !self.used & !self.claimed
    }
}

/// The workers of a region, with bit masks of their accelerators by use.
#[derive(Clone, Debug, Default)]
pub struct Grid {
    nodes: Vec<Node>,
    names: HashMap<SmolStr, WorkerKey>,
    racks: HashMap<SmolStr, u32>,
    domains: HashMap<SmolStr, u32>,
    /// Maximal cells outside every binding, over workers that are up and not evacuated.
    unbound: CellCounts,
    /// Maximal cells over workers that are up and not evacuated, bound or not.
    total: CellCounts,
    idle: u32,
}

impl Grid {
    /// Adds a worker, or returns the key of the one that has its name.
    pub fn add(&mut self, spec: WorkerSpec) -> WorkerKey {
        if let Some(key) = self.names.get(&spec.name) {
            return *key;
        }
        let key = WorkerKey(self.nodes.len() as u32);
        let racks = self.racks.len() as u32;
        let domains = self.domains.len() as u32;
        let rack = *self.racks.entry(spec.rack.clone()).or_insert(racks);
        let domain = *self.domains.entry(spec.domain.clone()).or_insert(domains);
        self.names.insert(spec.name.clone(), key);
        self.nodes.push(Node {
            spec,
            rack,
            domain,
            up: false,
            quarantined: false,
            evacuated: false,
            bound: 0,
            claimed: 0,
            used: 0,
            users: [None; MAX_ACCELERATORS as usize],
        });
        self.set_up(key, true);
        key
    }

    /// Returns the key of the worker with this name.
    pub fn key(&self, name: &str) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    /// Returns the name, location and size of a worker.
    pub fn spec(&self, key: WorkerKey) -> &WorkerSpec {
        &self.nodes[key.0 as usize].spec
    }

    /// Lists every worker.
    pub fn workers(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..self.nodes.len() as u32).map(WorkerKey)
    }

    /// Returns whether a worker is in service.
    pub fn is_up(&self, key: WorkerKey) -> bool {
        self.nodes[key.0 as usize].up
    }

    /// Puts a worker into service or takes it out.
    ///
    /// A worker that goes out of service loses its bindings and claims;
    /// physical users stay until they are released.
    pub fn set_up(&mut self, key: WorkerKey, up: bool) {
        self.update(key, |node| {
            node.up = up;
            if !up {
                node.bound = 0;
                node.claimed = 0;
            }
        });
    }

    /// Starts or ends a quarantine, which closes a worker to borrowers.
    pub fn set_quarantined(&mut self, key: WorkerKey, quarantined: bool) {
        self.update(key, |node| node.quarantined = quarantined);
    }

    /// Starts or ends the evacuation of a worker.
    ///
    /// An evacuated worker loses its bindings and claims and counts as no capacity; physical
    /// users stay until they are released.
    pub(crate) fn set_evacuated(&mut self, key: WorkerKey, evacuated: bool) {
        self.update(key, |node| {
            node.evacuated = evacuated;
            if evacuated {
                node.bound = 0;
                node.claimed = 0;
            }
        });
    }

    /// Returns whether the failure domain of a worker is evacuated.
    pub fn is_evacuated(&self, key: WorkerKey) -> bool {
        self.nodes[key.0 as usize].evacuated
    }

    /// Returns the maximal cells outside every binding.
    pub fn unbound(&self) -> &CellCounts {
        &self.unbound
    }

    /// Returns the maximal cells of all workers in service that are not evacuated.
    pub fn total(&self) -> &CellCounts {
        &self.total
    }

    /// Returns the number of accelerators that a borrower may use.
    pub fn idle(&self) -> u32 {
        self.idle
    }

    /// Returns the mask of accelerators that a borrower may use.
    pub fn idle_mask(&self, key: WorkerKey) -> u8 {
        self.nodes[key.0 as usize].idle()
    }

    /// Returns the mask of accelerators outside every binding.
    pub fn unbound_mask(&self, key: WorkerKey) -> u8 {
        self.nodes[key.0 as usize].unbound()
    }

    /// Returns the mask of claimed accelerators.
    pub fn claimed_mask(&self, key: WorkerKey) -> u8 {
        self.nodes[key.0 as usize].claimed
    }

    /// Returns the mask of bound accelerators.
    pub fn bound_mask(&self, key: WorkerKey) -> u8 {
        self.nodes[key.0 as usize].bound
    }

    /// Returns the mask of physically used accelerators.
    pub fn used_mask(&self, key: WorkerKey) -> u8 {
        self.nodes[key.0 as usize].used
    }

    /// Returns the mask of accelerators in service.
    pub fn present_mask(&self, key: WorkerKey) -> u8 {
        self.nodes[key.0 as usize].present()
    }

    /// Returns the mask of accelerators in service on which work may be placed.
    pub fn usable_mask(&self, key: WorkerKey) -> u8 {
        self.nodes[key.0 as usize].usable()
    }

    /// Returns the rack and the failure domain of a worker, numbered from zero.
    pub fn location(&self, key: WorkerKey) -> (u32, u32) {
        let node = &self.nodes[key.0 as usize];
        (node.rack, node.domain)
    }

    /// Lists the jobs that physically use a cell, without repeats.
    pub fn users(&self, cell: Cell) -> Vec<JobKey> {
        let node = &self.nodes[cell.worker.0 as usize];
        let bits = (0..8).filter(|bit| cell.mask >> bit & 1 == 1);
        let mut users: Vec<_> = bits.filter_map(|bit: usize| node.users[bit]).collect();
        users.sort_unstable();
        users.dedup();
        users
    }

    /// Marks a cell as physically used by a job.
    pub fn occupy(&mut self, cell: Cell, job: JobKey) {
        self.update(cell.worker, |node| {
            debug_assert_eq!(node.used & cell.mask, 0, "accelerators are used twice");
            node.used |= cell.mask;
            for bit in (0..8).filter(|bit| cell.mask >> bit & 1 == 1) {
                node.users[bit] = Some(job);
            }
        });
    }

    /// Marks a cell as physically free.
    pub fn vacate(&mut self, cell: Cell) {
        self.update(cell.worker, |node| {
            node.used &= !cell.mask;
            for bit in (0..8).filter(|bit| cell.mask >> bit & 1 == 1) {
                node.users[bit] = None;
            }
        });
    }

    pub(crate) fn bind(&mut self, cell: Cell) {
        self.update(cell.worker, |node| {
            debug_assert_eq!(node.bound & cell.mask, 0, "accelerators are bound twice");
            node.bound |= cell.mask;
        });
    }

    pub(crate) fn unbind(&mut self, cell: Cell) {
        self.update(cell.worker, |node| node.bound &= !cell.mask);
    }

    pub(crate) fn claim(&mut self, cell: Cell) {
        self.update(cell.worker, |node| {
            debug_assert_eq!(
                node.claimed & cell.mask,
                0,
                "accelerators are claimed twice"
            );
            node.claimed |= cell.mask;
        });
    }

    pub(crate) fn unclaim(&mut self, cell: Cell) {
        self.update(cell.worker, |node| node.claimed &= !cell.mask);
    }

    /// Edits a worker and updates the counts of the grid.
    fn update(&mut self, key: WorkerKey, edit: impl FnOnce(&mut Node)) {
        let node = &mut self.nodes[key.0 as usize];
        self.unbound.sub_all(&CellCounts::of_mask(node.unbound()));
        self.total.sub_all(&CellCounts::of_mask(node.usable()));
        self.idle -= node.idle().count_ones();
        edit(node);
        self.unbound.add_all(&CellCounts::of_mask(node.unbound()));
        self.total.add_all(&CellCounts::of_mask(node.usable()));
        self.idle += node.idle().count_ones();
    }
}

/// Returns the shape of the maximal free cell of `free` that contains `mask`.
pub(crate) fn enclosing_shape(free: u8, mask: u8) -> Option<Shape> {
    let contains = |shape: &Shape| shape.masks().any(|m| m & mask == mask && free & m == m);
    Shape::ALL.into_iter().rev().find(contains)
}
