//! A panic in a task, in a process of its own.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use elderpick_gateway::panics;

/// Set for the process that panics.
const PLANTED: &str = "ELDERPICK_PLANTED_PANIC";
const ENDS_WITHIN: Duration = Duration::from_secs(1);
const NEVER: Duration = Duration::from_secs(60);

/// A runtime whose task panics while another goes on, as a gateway's do.
fn panic_in_a_task(by_thread: bool) {
    elderpick_gateway::log_as("info", "text");
    panics::end_process();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        if by_thread {
            std::thread::spawn(|| panic!("planted"));
        } else {
            tokio::task::spawn_local(async { panic!("planted") });
        }
        tokio::time::sleep(NEVER).await;
    });
}

/// Guards against a process that looks alive, holds its address and answers nobody since one of its tasks has ended.
#[test]
fn a_panic_in_a_task_or_thread_ends_the_process() {
    if let Ok(planted) = std::env::var(PLANTED) {
        return panic_in_a_task(planted == "thread");
    }
    for planted in ["task", "thread"] {
        let test = "a_panic_in_a_task_or_thread_ends_the_process";
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", test, "--nocapture"])
            .env(PLANTED, planted)
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let began = Instant::now();
        while child.try_wait().unwrap().is_none() && began.elapsed() < ENDS_WITHIN {
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = child.kill();
        let ended = child.wait_with_output().unwrap();
        let told = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(ended.status.code(), Some(panics::EXIT_STATUS), "{planted}: {told}");
        assert_eq!(told.lines().filter(|line| line.contains("planted")).count(), 1, "{planted}: {told}");
    }
}
