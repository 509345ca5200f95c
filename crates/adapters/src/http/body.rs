//! A buffer that collects a body in steps and returns its memory to the system.

use bytes::Bytes;
use memmap2::MmapMut;
use std::io;

/// The smallest capacity, in bytes.
const MIN_CAPACITY: usize = 4 << 10;
/// The largest capacity taken from the heap. Larger buffers are memory maps of their own, which
/// the system takes back when they are dropped; the C library would keep freed blocks of up to
/// 32 MiB in its heap once one of that size was freed.
const MAX_HEAP_CAPACITY: usize = 64 << 10;
/// The size of a page, in bytes; a map consists of whole pages.
const PAGE_BYTES: usize = 4 << 10;

enum Storage {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

/// A body that is being received.
pub(crate) struct BodyBuffer {
    storage: Storage,
    len: usize,
    /// The length that the body will have at most.
    max_len: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer, without memory, for a body of at most `max_len` bytes.
    pub fn new(max_len: usize) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            len: 0,
            max_len,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn capacity(&self) -> usize {
        match &self.storage {
            Storage::Heap(vec) => vec.capacity(),
            Storage::Mapped(map) => map.len(),
        }
    }

    /// Returns the capacity to grow to before `count` bytes can be added, if there is too little.
    ///
    /// The capacity doubles, but does not exceed the body's largest length by more than a page.
    pub fn next_capacity(&self, count: usize) -> Option<usize> {
        let needed = self.len + count;
        if needed <= self.capacity() {
            return None;
        }
        let doubled = (2 * self.capacity()).max(MIN_CAPACITY).min(self.max_len);
        let next = doubled.max(needed);
        if next <= MAX_HEAP_CAPACITY {
            return Some(next);
        }
        Some(next.next_multiple_of(PAGE_BYTES))
    }

    /// Grows to a capacity; the former buffer is released after its bytes were copied.
    ///
    /// # Errors
    ///
    /// Fails if the system has no memory.
    pub fn grow(&mut self, capacity: usize) -> io::Result<()> {
        if capacity <= MAX_HEAP_CAPACITY {
            let mut vec = Vec::new();
            vec.try_reserve_exact(capacity)?;
            vec.extend_from_slice(self.filled());
            self.storage = Storage::Heap(vec);
            return Ok(());
        }
        let mut map = MmapMut::map_anon(capacity)?;
        map[..self.len].copy_from_slice(self.filled());
        self.storage = Storage::Mapped(map);
        Ok(())
    }

    /// Adds bytes, for which the capacity must suffice.
    pub fn extend(&mut self, data: &[u8]) {
        match &mut self.storage {
            Storage::Heap(vec) => vec.extend_from_slice(data),
            Storage::Mapped(map) => map[self.len..self.len + data.len()].copy_from_slice(data),
        }
        self.len += data.len();
    }

    fn filled(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(vec) => vec,
            Storage::Mapped(map) => &map[..self.len],
        }
    }

    /// Returns the body without copying it.
    pub fn into_bytes(self) -> Bytes {
        match self.storage {
            Storage::Heap(vec) => Bytes::from(vec),
            Storage::Mapped(map) => Bytes::from_owner(MappedBody { map, len: self.len }),
        }
    }
}

/// Returns a copy of a body.
///
/// # Errors
///
/// Fails if the system has no memory.
pub(crate) fn copy_body(body: &[u8]) -> io::Result<Bytes> {
    let mut buffer = BodyBuffer::new(body.len());
    if let Some(capacity) = buffer.next_capacity(body.len()) {
        buffer.grow(capacity)?;
    }
    buffer.extend(body);
    Ok(buffer.into_bytes())
}

struct MappedBody {
    map: MmapMut,
    len: usize,
}

impl AsRef<[u8]> for MappedBody {
    fn as_ref(&self) -> &[u8] {
        &self.map[..self.len]
    }
}
