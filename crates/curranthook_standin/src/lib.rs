//! Stand-ins for engines, services and the platform, and a fault proxy; never part of the product.
