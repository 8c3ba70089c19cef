//! Requests that crash backend servers, and how they are kept from the next one.
