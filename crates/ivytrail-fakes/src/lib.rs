//! Small stand-ins for the platform, a backend server and callers. Never shipped.
