//! Checks of a team's subtree before it is accepted.
