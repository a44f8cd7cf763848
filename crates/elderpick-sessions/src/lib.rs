//! The session lifecycle on the platform's wire, without sockets and without a clock.
//!
//! [`lifecycle`] stands between the decision module and the sockets: it tells the module what happens, carries out
//! what the module decides and adds no choice of its own. [`health`] judges whether a media host still runs,
//! [`follow`] keeps the place in the journal, [`pending`] what could not be said yet, [`releases`] what viewers have
//! not confirmed, [`descriptions`] and [`delivery`] which answers may be cut and how long these are held, [`admission`]
//! who may stay connected, [`shutdown`] when a gateway that was told to end may end.

#![deny(missing_docs)]

pub mod admission;
pub mod delivery;
pub mod descriptions;
pub mod follow;
pub mod health;
pub mod lifecycle;
pub mod pending;
pub mod releases;
pub mod shutdown;
