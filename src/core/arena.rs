//! A generational arena of jobs.

use super::JobKey;

/// Values addressed by [`JobKey`]; a key of a removed value finds nothing.
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

    /// Removes the value of `key`, if the key is not stale.
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

    /// The value of `key`, if the key is not stale.
    pub fn get(&self, key: JobKey) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.value.as_ref())
            .flatten()
    }

    /// The value of `key` for change, if the key is not stale.
    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.value.as_mut())
            .flatten()
    }

    /// Number of values held.
    pub fn len(&self) -> usize {
        self.slots.len() - self.vacant.len()
    }

    /// Whether the arena holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All keys with their values, in slot order.
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
