//! The system's memory allocator.

/// Gives free memory back to the system. The allocator keeps that of many small pieces, so that a
/// process would stay as large as it was at its peak.
pub fn trim() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: `malloc_trim` takes no pointers and may be called by any thread at any time.
    unsafe {
        libc::malloc_trim(0);
    }
}
