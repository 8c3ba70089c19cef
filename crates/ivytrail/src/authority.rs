//! Whether this daemon may still rely on its settings and keys.
