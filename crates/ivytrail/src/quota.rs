//! Rate and burst of client accounts, counted across the fleet.
