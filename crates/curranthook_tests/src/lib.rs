//! Integration tests: real processes behind a fault proxy.
