//! An arena with generational keys.

use super::JobKey;
use std::marker::PhantomData;

/// A key of an [`Arena`]: a slot, and how often the slot was emptied before.
pub trait ArenaKey: Copy {
    /// Creates a key.
    fn new(index: u32, generation: u32) -> Self;
    /// The slot.
    fn index(self) -> u32;
    /// How often the slot was emptied before.
    fn generation(self) -> u32;
}

/// Stores values under a key. The key of a removed value is stale and finds
/// nothing, also when its slot is used again.
#[derive(Debug)]
pub struct Arena<T, K = JobKey> {
    slots: Vec<Slot<T>>,
    vacant: Vec<u32>,
    keys: PhantomData<K>,
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

impl<T, K> Default for Arena<T, K> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            vacant: Vec::new(),
            keys: PhantomData,
        }
    }
}

impl<T, K: ArenaKey> Arena<T, K> {
    /// Stores `value` and returns its key.
    pub fn insert(&mut self, value: T) -> K {
        if let Some(index) = self.vacant.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return K::new(index, slot.generation);
        }
        let index = self.slots.len() as u32;
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        K::new(index, 0)
    }

    /// Removes and returns the value of `key`; `None` if the key is stale.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        if slot.generation != key.generation() {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation += 1;
        self.vacant.push(key.index());
        Some(value)
    }

    /// Returns the value of `key`; `None` if the key is stale.
    pub fn get(&self, key: K) -> Option<&T> {
        let slot = self.slots.get(key.index() as usize)?;
        (slot.generation == key.generation())
            .then_some(slot.value.as_ref())
            .flatten()
    }

    /// Returns the value of `key` mutably; `None` if the key is stale.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        (slot.generation == key.generation())
            .then_some(slot.value.as_mut())
            .flatten()
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.vacant.len()
    }

    /// Returns whether the arena has no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all keys with their values, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = K::new(index as u32, slot.generation);
            slot.value.as_ref().map(|value| (key, value))
        })
    }
}
