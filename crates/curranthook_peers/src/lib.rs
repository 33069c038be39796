//! Nodes acting together: membership, digest, configuration spread, journal replicas.
