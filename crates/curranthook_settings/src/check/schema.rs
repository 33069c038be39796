//! The fields of the files, as the types in [`crate::config`] and [`crate::node`] take them.

use super::shape::{Field, Name, Shape, optional, required};

const TEXT: Shape = Shape::Text;
const ID: Shape = Shape::Id;
const FRACTION: Shape = Shape::Fraction;
const BOOL: Shape = Shape::Bool;
const MICROS: Shape = Shape::Whole { min: 0, unit: " of millionths of the currency" };
const COUNT: Shape = Shape::Whole { min: 1, unit: "" };
const POSITIVE: Shape = Shape::Positive;
const FIXED: Shape = Shape::Address { min_port: 1 };
const LISTEN: Shape = Shape::Address { min_port: 0 };
const SECRET: Shape = Shape::Secret { min_bytes: 16 };
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
const METHOD: Shape = Shape::OneOf(&METHODS);
const TEXTS: Shape = Shape::List(&TEXT);
const QUALITY: Shape = Shape::Map(Name::Plain, &FRACTION);

pub(crate) const CONFIG: Shape = Shape::Record(&[
    required("site", ID),
    optional("versions", Shape::Map(Name::Version, &Shape::Record(VERSION))),
    optional("services", Shape::Map(Name::Plain, &Shape::Record(SERVICE))),
    optional("endpoints", Shape::Map(Name::Plain, &Shape::Record(ENDPOINT))),
    optional("accounts", Shape::Map(Name::Plain, &Shape::Record(ACCOUNT))),
    optional("kinds", Shape::Map(Name::Plain, &Shape::Record(KIND))),
    optional("policy", Shape::Record(POLICY)),
    optional("rater", FIXED),
    optional("session_keys", Shape::List(&Shape::Record(KEY))),
]);

const VERSION: &[Field] = &[required("price", Shape::Record(RATE)), optional("quality", QUALITY)];

const RATE: &[Field] = &[required("prompt", MICROS), required("completion", MICROS)];

const SERVICE: &[Field] =
    &[optional("repeatable", Shape::List(&METHOD)), optional("price", MICROS)];

const ENDPOINT: &[Field] = &[
    required("address", FIXED),
    required("failure_domain", ID),
    optional("versions", TEXTS),
    optional("service", TEXT),
    optional("checks_fencing", BOOL),
    optional("slots", COUNT),
];

const ACCOUNT: &[Field] = &[
    required("key_hashes", Shape::List(&Shape::KeyHash)),
    optional("versions", TEXTS),
    optional("services", TEXTS),
    optional("quality", QUALITY),
    optional("limit", Shape::Record(LIMIT)),
    optional("sessions_may_move", BOOL),
];

const LIMIT: &[Field] =
    &[optional("requests", POSITIVE), optional("burst", POSITIVE), optional("weight", POSITIVE)];

const KIND: &[Field] = &[required("quality", FRACTION), optional("priority", Shape::Integer)];

const POLICY: &[Field] = &[
    optional("weigh", Shape::OneOf(&["latency", "exposure"])),
    optional("exploration", FRACTION),
    optional("rating_sample", FRACTION),
    optional("retry_budget", FRACTION),
    optional("default_deadline_ms", Shape::Whole { min: 1, unit: " of milliseconds" }),
    optional("max_body", Shape::Whole { min: 1, unit: " of bytes" }),
    optional("queue", COUNT),
];

const KEY: &[Field] = &[required("id", ID), required("secret", SECRET)];

pub(crate) const NODE: Shape = Shape::Record(&[
    required("vm", ID),
    required("site", ID),
    required("failure_domain", ID),
    required("listen", LISTEN),
    required("peer_listen", LISTEN),
    optional("peer_address", FIXED),
    required("steward_listen", LISTEN),
    required("platform", Shape::Record(PLATFORM)),
    optional("seeds", Shape::List(&FIXED)),
    required("peer_key", SECRET),
    optional("statsd", FIXED),
    optional("threads", COUNT),
]);

const PLATFORM: &[Field] =
    &[required("table", FIXED), required("objects", FIXED), required("vms", FIXED)];
