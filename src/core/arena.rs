//! An arena with generational keys.

use super::JobKey;

/// Stores values under a [`JobKey`]. The key of a removed value is stale and
/// finds nothing, also when its slot is used again.
#[derive(Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    vacant: Vec<u32>,
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            vacant: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Stores `value` and returns its key.
    pub fn insert(&mut self, value: T) -> JobKey {
        if let Some(index) = self.vacant.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return JobKey {
                index,
                generation: slot.generation,
            };
        }
        let index = self.slots.len() as u32;
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        JobKey {
            index,
            generation: 0,
        }
    }

    /// Removes and returns the value of `key`; `None` if the key is stale.
    pub fn remove(&mut self, key: JobKey) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation += 1;
        self.vacant.push(key.index);
        Some(value)
    }

    /// Returns the value of `key`; `None` if the key is stale.
    pub fn get(&self, key: JobKey) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.value.as_ref())
            .flatten()
    }

    /// Returns the value of `key` mutably; `None` if the key is stale.
    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        (slot.generation == key.generation)
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
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = JobKey {
                index: index as u32,
                generation: slot.generation,
            };
            slot.value.as_ref().map(|value| (key, value))
        })
    }
}
