//! Service accounting per team and the choice of the most deserving team.
//!
//! - [`message`]: what the homes of a service tell each other.

pub mod message;
