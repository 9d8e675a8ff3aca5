//! Shapes that were judged to be reads, and that a db host refused as writes.

use std::collections::{HashSet, VecDeque};

use crate::shape::Shape;

/// Shapes that are remembered; beyond, the oldest is forgotten.
const MAX_SHAPES: usize = 1024;

/// The latest refuted shapes.
#[derive(Debug, Default)]
pub(crate) struct RefutedReads {
    shapes: HashSet<Shape>,
    /// In the order in which they were refuted.
    order: VecDeque<Shape>,
}

impl RefutedReads {
    pub(crate) fn insert(&mut self, shape: Shape) {
        if !self.shapes.insert(shape) {
            return;
        }
        self.order.push_back(shape);
        if self.order.len() > MAX_SHAPES {
            if let Some(oldest) = self.order.pop_front() {
                self.shapes.remove(&oldest);
            }
        }
    }

    pub(crate) fn contains(&self, shape: &Shape) -> bool {
        self.shapes.contains(shape)
    }

    pub(crate) fn len(&self) -> usize {
        self.shapes.len()
    }
}
