//! What a panic brings about: the process ends. A gateway that starts again is safe; one whose task has ended in the
//! middle of a change holds its address and answers nobody.

/// The exit status of a process that a panic has ended: the one that the main thread's own panic has.
pub const EXIT_STATUS: i32 = 101;

/// Ends the process at a panic in any task or thread, behind one line of the log that tells of it.
pub fn end_process() {
    std::panic::set_hook(Box::new(|panic| {
        tracing::error!("{panic}");
        std::process::exit(EXIT_STATUS);
    }));
}
