//! Application of changes to the settings tree.
