//! Service accounting per team and the choice of the most deserving team.
//!
//! - [`book`]: the tags of the teams of one service at one home.
//! - [`tag`]: service divided by share.
//! - [`message`]: what the homes of a service tell each other.

pub mod book;
pub mod message;
pub mod tag;
