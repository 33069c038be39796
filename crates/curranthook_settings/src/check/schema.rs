//! The fields of the files, matching the types in [`crate::config`] and [`crate::node`].

use super::shape::{Field, KeyFormat, Shape, optional, required};

const TEXT: Shape = Shape::Text;
const ID: Shape = Shape::Id;
const FRACTION: Shape = Shape::Fraction;
const BOOL: Shape = Shape::Bool;
const PRICE: Shape = Shape::Unsigned { min: 0, unit: " of millionths of the currency" };
const COUNT: Shape = Shape::Unsigned { min: 1, unit: "" };
const POSITIVE: Shape = Shape::Positive;
const ADDRESS: Shape = Shape::Address { min_port: 1 };
const LISTEN_ADDRESS: Shape = Shape::Address { min_port: 0 };
const SECRET: Shape = Shape::Secret { min_bytes: 16 };
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
const METHOD: Shape = Shape::OneOf(&METHODS);
const TEXT_LIST: Shape = Shape::List(&TEXT);
const QUALITY: Shape = Shape::Map(KeyFormat::Plain, &FRACTION);

pub(crate) const CONFIG: Shape = Shape::Record(&[
    required("site", ID),
    optional("versions", Shape::Map(KeyFormat::Version, &Shape::Record(VERSION))),
    optional("services", Shape::Map(KeyFormat::Plain, &Shape::Record(SERVICE))),
    optional("endpoints", Shape::Map(KeyFormat::Plain, &Shape::Record(ENDPOINT))),
    optional("accounts", Shape::Map(KeyFormat::Plain, &Shape::Record(ACCOUNT))),
    optional("kinds", Shape::Map(KeyFormat::Plain, &Shape::Record(KIND))),
    optional("policy", Shape::Record(POLICY)),
    optional("rater", ADDRESS),
    optional("session_keys", Shape::List(&Shape::Record(KEY))),
]);

const VERSION: &[Field] = &[required("price", Shape::Record(RATE)), optional("quality", QUALITY)];

const RATE: &[Field] = &[required("prompt", PRICE), required("completion", PRICE)];

const SERVICE: &[Field] = &[optional("repeatable", Shape::List(&METHOD)), optional("price", PRICE)];

const ENDPOINT: &[Field] = &[
    required("address", ADDRESS),
    required("failure_domain", ID),
    optional("versions", TEXT_LIST),
    optional("service", TEXT),
    optional("checks_fencing", BOOL),
    optional("slots", COUNT),
];

const ACCOUNT: &[Field] = &[
    required("key_hashes", Shape::List(&Shape::KeyHash)),
    optional("versions", TEXT_LIST),
    optional("services", TEXT_LIST),
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
    optional("default_deadline_ms", Shape::Unsigned { min: 1, unit: " of milliseconds" }),
    optional("max_body", Shape::Unsigned { min: 1, unit: " of bytes" }),
    optional("queue", COUNT),
];

const KEY: &[Field] = &[required("id", ID), required("secret", SECRET)];

pub(crate) const NODE: Shape = Shape::Record(&[
    required("vm", ID),
    required("site", ID),
    required("failure_domain", ID),
    required("listen", LISTEN_ADDRESS),
    required("peer_listen", LISTEN_ADDRESS),
    optional("peer_address", ADDRESS),
    required("steward_listen", LISTEN_ADDRESS),
    required("platform", Shape::Record(PLATFORM)),
    optional("seeds", Shape::List(&ADDRESS)),
    required("peer_key", SECRET),
    optional("statsd", ADDRESS),
    optional("threads", COUNT),
]);

const PLATFORM: &[Field] =
    &[required("table", ADDRESS), required("objects", ADDRESS), required("vms", ADDRESS)];
