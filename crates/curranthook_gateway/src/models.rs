//! The models that may answer a request, and the one that is asked now.

use crate::{
    document::{Document, Route},
    request::Model,
};

/// The models that may answer, the smallest first; empty for plain services.
#[derive(Debug, Clone, PartialEq)]
pub struct Models {
    list: Vec<Candidate>,
    current: usize,
    tokens_per_event: u32,
}

/// A model that may answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Its price against the dearest one's, from 0 to 1.
    pub relative_price: f64,
}

impl Models {
    /// The models for a request that asks for `asked` on `route`.
    pub fn new(document: &Document, service: &str, route: &Route, requested: &Model) -> Self {
        let names = match requested {
            Model::None => Vec::new(),
            Model::Any => route.models.clone(),
            Model::Named(name) => vec![name.clone()],
        };
        let service = document.services.get(service);
        let price = |name: &str| service.and_then(|it| it.models.get(name)).copied();
        let dearest = service.and_then(|it| it.models.values().copied().reduce(f64::max));
        let relative_price = |name: &str| {
            let prices = price(name).zip(dearest);
            prices.map_or(1.0, |(price, dearest)| price / dearest.max(f64::MIN_POSITIVE))
        };
        let list =
            names.into_iter().map(|name| Candidate { relative_price: relative_price(&name), name });
        Self {
            list: list.collect(),
            current: 0,
            tokens_per_event: service.map_or(0, |it| it.tokens_per_event),
        }
    }

    /// The one that is asked now.
    pub fn current(&self) -> Option<&Candidate> {
        self.list.get(self.current)
    }

    /// Its place in the list.
    pub fn index(&self) -> usize {
        self.current
    }

    /// The largest one, if it's another than the one that is asked now.
    pub fn larger(&self) -> Option<&Candidate> {
        self.list[self.list.len().min(self.current + 1)..].last()
    }

    /// Asks the largest one from now on.
    pub fn switch_to_largest(&mut self) {
        self.current = self.list.len().saturating_sub(1);
    }

    /// How many events an answer of `tokens` has.
    pub fn event_count(&self, tokens: u64) -> u64 {
        tokens.checked_div(u64::from(self.tokens_per_event)).unwrap_or(0)
    }
}
