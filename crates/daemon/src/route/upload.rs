//! A body in pieces between its call's way through the router and its reader.
//!
//! The call hears from the target's half how much may be sent and passes that on; the
//! reader reads as much from the caller and sends it. Until the reader has sent something
//! the call may be offered to another target, and after that never.

use std::sync::{Arc, Mutex};

use lynxcleat_policy::{AttemptId, RequestFingerprints};
use lynxcleat_wire::BodyAnnouncement;

use crate::mesh::Link;
use crate::sync::lock;

/// The window of a body was opened, or opened further.
pub struct Opened {
    /// The attempt that it is opened for.
    pub attempt: AttemptId,
    /// The link that the pieces go out on.
    pub link: Arc<Link>,
    /// Bytes that may be sent beyond those before.
    pub bytes: u64,
}

/// Where the body of a call belongs.
#[derive(Default)]
struct Place {
    /// The attempt that may begin with it.
    attempt: Option<AttemptId>,
    /// Whether some of it was sent, or can no longer be had.
    begun: bool,
    /// Whether it can no longer be had.
    given_up: bool,
}

/// The call's end of a body in pieces.
#[derive(Clone)]
pub struct Upload {
    /// What is said of it beforehand.
    pub to_come: BodyAnnouncement,
    /// Fingerprints of the request, where the beginning of the body was read for them.
    pub prints: Option<RequestFingerprints>,
    opened: flume::Sender<Opened>,
    place: Arc<Mutex<Place>>,
}

/// The reader's end.
pub struct UploadReader {
    /// Hears of the window; it ends with the call.
    pub opened: flume::Receiver<Opened>,
    place: Arc<Mutex<Place>>,
}

/// Both ends for one call.
pub fn upload(to_come: BodyAnnouncement) -> (Upload, UploadReader) {
    let (sender, opened) = flume::unbounded();
    let place = Arc::new(Mutex::new(Place::default()));
    let upload = Upload {
        to_come,
        prints: None,
        opened: sender,
        place: Arc::clone(&place),
    };
    (upload, UploadReader { opened, place })
}

impl Upload {
    /// The call is offered for this attempt.
    pub fn offer(&self, attempt: AttemptId) {
        lock(&self.place).attempt = Some(attempt);
    }

    /// The attempt ended: its reader may not begin any more. Returns whether the body was
    /// begun, so that it cannot go anywhere else.
    pub fn take_back(&self) -> bool {
        let mut place = lock(&self.place);
        place.attempt = None;
        place.begun
    }

    /// Tells the reader of the window. False where the body cannot be had. A reader that
    /// has sent all of it need not hear.
    pub fn open(&self, opened: Opened) -> bool {
        let _ = self.opened.send(opened);
        !lock(&self.place).given_up
    }
}

impl UploadReader {
    /// Says that the first piece goes out for this attempt. False where the attempt ended.
    pub fn begin(&self, attempt: AttemptId) -> bool {
        let mut place = lock(&self.place);
        let stands = place.attempt == Some(attempt);
        place.begun |= stands;
        stands
    }

    /// The body cannot be had: the call goes nowhere else.
    pub fn give_up(&self) {
        let mut place = lock(&self.place);
        place.begun = true;
        place.given_up = true;
    }
}
