//! The models that may answer a request, and the one in use.

use crate::{
    document::{Document, Route},
    request::Model,
};

/// The models that may answer, the smallest first; empty for services without models.
#[derive(Debug, Clone, PartialEq)]
pub struct Models {
    candidates: Vec<Candidate>,
    current_index: usize,
    tokens_per_event: u32,
}

/// A model that may answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The name of the model.
    pub name: String,
    /// The model's price relative to the most expensive model of the service, from 0 to 1.
    pub relative_price: f64,
}

impl Models {
    /// Lists the models for a request on `route` that specifies `requested`.
    pub fn new(document: &Document, service: &str, route: &Route, requested: &Model) -> Self {
        let names = match requested {
            Model::None => Vec::new(),
            Model::Any => route.models.clone(),
            Model::Named(name) => vec![name.clone()],
        };
        let service = document.services.get(service);
        let price = |name: &str| service.and_then(|it| it.models.get(name)).copied();
        let highest = service.and_then(|it| it.models.values().copied().reduce(f64::max));
        let relative_price = |name: &str| {
            let prices = price(name).zip(highest);
            prices.map_or(1.0, |(price, highest)| price / highest.max(f64::MIN_POSITIVE))
        };
        let candidates =
            names.into_iter().map(|name| Candidate { relative_price: relative_price(&name), name });
        Self {
            candidates: candidates.collect(),
            current_index: 0,
            tokens_per_event: service.map_or(0, |it| it.tokens_per_event),
        }
    }

    /// The model of the current attempt.
    pub fn current(&self) -> Option<&Candidate> {
        self.candidates.get(self.current_index)
    }

    /// The index of the model of the current attempt.
    pub fn index(&self) -> usize {
        self.current_index
    }

    /// The largest model, unless it is in use already.
    pub fn larger(&self) -> Option<&Candidate> {
        self.candidates[self.candidates.len().min(self.current_index + 1)..].last()
    }

    /// Makes all further attempts use the largest model.
    pub fn switch_to_largest(&mut self) {
        self.current_index = self.candidates.len().saturating_sub(1);
    }

    /// The number of events in an answer of `tokens` tokens.
    pub fn event_count(&self, tokens: u64) -> u64 {
        tokens.checked_div(u64::from(self.tokens_per_event)).unwrap_or(0)
    }
}
