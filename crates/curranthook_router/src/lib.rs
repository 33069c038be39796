//! The router: callers' API, admission, policy, dispatch and billing.
