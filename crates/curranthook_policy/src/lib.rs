//! Decisions: versions, cascades, endpoints, verdicts, limits and retries.
