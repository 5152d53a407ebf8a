//! Settings of the C library's allocator.
//!
//! By default it raises the size from which a buffer is mapped by itself, up to 32 MB, with each such buffer that is
//! freed. Larger and larger buffers then come from the heap, which shrinks only at its end: after an attack with
//! unfinished bodies of 60 kB, 116 of 152 MB stayed in use. The settings are read before `main`, and functions that
//! change them later are unsafe to call, so the process replaces itself once with the settings in its environment.

use std::os::unix::process::CommandExt;
use std::process::Command;

/// Buffers from this size on are mapped by themselves, and given back when they are freed.
const MAP_VARIABLE: (&str, &str) = ("MALLOC_MMAP_THRESHOLD_", "8192");
/// Free bytes at the end of the heap from which on it shrinks.
const TRIM_VARIABLE: (&str, &str) = ("MALLOC_TRIM_THRESHOLD_", "131072");
/// Threads of the log share the heap of the main thread.
const ARENA_VARIABLE: (&str, &str) = ("MALLOC_ARENA_MAX", "1");

/// Starts the process again with the settings, unless it has them or the operator set others.
pub fn apply_settings() {
    if std::env::var_os(MAP_VARIABLE.0).is_some() {
        return;
    }
    let Ok(binary) = std::env::current_exe() else { return };
    let mut command = Command::new(binary);
    command.args(std::env::args_os().skip(1)).envs([MAP_VARIABLE, TRIM_VARIABLE, ARENA_VARIABLE]);
    // Returns only if the process cannot be replaced; it then runs with the default settings.
    let error = command.exec();
    eprintln!("oleander-gateway: cannot set up the allocator: {error}");
}
