//! Load and experiment tool: scenarios in, cost, quality, latency and exposure out.
