package sysfault

import "golang.org/x/sys/unix"

// auditArchitecture is how the kernel names the architecture whose system calls are filtered.
const auditArchitecture = unix.AUDIT_ARCH_AARCH64
