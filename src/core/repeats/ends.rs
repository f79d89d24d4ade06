//! What the end of an attempt says about the upstream that ran it.

use derive_more::Display;

/// The first status of those by which an upstream reports a failure of its own.
const FIRST_ERROR_STATUS: u16 = 500;

/// How an attempt that was sent came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AttemptEnd {
    /// A whole answer, whose end the upstream has marked.
    #[display("answered {status}")]
    Answered { status: u16 },
    /// An answer without a length, which ended with its connection.
    #[display("closed {status}")]
    AnsweredUntilClose { status: u16 },
    /// An event stream that ended within an event.
    #[display("torn")]
    Torn,
    /// The connection ended before the answer was complete.
    #[display("connection ended")]
    ConnectionEnded,
    /// Bytes that are no answer, or only answers to other requests.
    #[display("unreadable")]
    Unreadable,
    /// The upstream said that it did not run the request.
    #[display("not run")]
    NotRun,
    /// The caller left, or the deadline passed.
    #[display("given up, silent={is_silent}")]
    GivenUp {
        /// The upstream had sent nothing for a while.
        is_silent: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EndMeaning {
    /// The work ended well. Takes back all losses before it.
    #[display("proof")]
    Proof,
    /// The upstream has to be taken for lost.
    #[display("lost")]
    Lost,
    /// The upstream may have ended silently. Counts as a loss until that is settled.
    #[display("suspected")]
    Suspected,
    /// A loss only if the upstream is seen to end soon after.
    #[display("watched")]
    Watched,
    /// Neither a loss nor a proof.
    #[display("harmless")]
    Harmless,
}

impl AttemptEnd {
    /// Only an answer that is whole by its own framing proves anything. An upstream can send an error as
    /// its last words, and an answer without a length ends in the same way whether or not its upstream
    /// did.
    pub fn meaning(&self) -> EndMeaning {
        match self {
            Self::Answered { status } if *status < FIRST_ERROR_STATUS => EndMeaning::Proof,
            Self::Answered { .. } | Self::AnsweredUntilClose { .. } => EndMeaning::Watched,
            Self::Torn | Self::ConnectionEnded | Self::Unreadable => EndMeaning::Lost,
            Self::NotRun => EndMeaning::Harmless,
            Self::GivenUp { is_silent: true } => EndMeaning::Suspected,
            Self::GivenUp { is_silent: false } => EndMeaning::Watched,
        }
    }
}
