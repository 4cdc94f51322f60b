// Package sysfault runs a program as a child process and injects faults into its system calls.
//
// The child installs a seccomp filter that notifies its parent of certain system calls. The parent lets each of them
// proceed, fails it with an errno, shortens it or delays it. This needs no privileges and affects no other process. It
// works only on Linux on amd64 and arm64.
package sysfault

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// launcherEnv tells a process to install the filter and execute the program named in its arguments.
const launcherEnv = "JASPERSILL_LAB_UNDER_FILTER"

const parentSocket = 3 // the launcher's descriptor of the socket to its parent

// ExecUnderFilterIfRequested executes the program named in the arguments under the filter if Start started this
// process, and returns otherwise. A program that calls Start has to call it first in its main function.
func ExecUnderFilterIfRequested() {
	if os.Getenv(launcherEnv) == "" {
		return
	}
	err := execUnderFilter()
	fmt.Fprintln(os.Stderr, "sysfault:", err)
	os.Exit(1)
}

func execUnderFilter() error {
	runtime.LockOSThread()
	os.Unsetenv(launcherEnv)
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("set no_new_privs: %w", err)
	}
	signal.Ignore(syscall.SIGHUP) // as under nohup: the program starts with SIGHUP ignored
	environment := os.Environ()
	arguments := os.Args[1:]
	listener, err := installFilter()
	if err != nil {
		return fmt.Errorf("install the seccomp filter: %w", err)
	}
	if err := unix.Sendmsg(parentSocket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send the seccomp listener to the parent: %w", err)
	}
	unix.Close(listener)
	unix.Close(parentSocket)
	return syscall.Exec(arguments[0], arguments, environment)
}

// installFilter installs a seccomp filter for the calls in interceptedCalls. It returns the descriptor on which the
// supervisor is notified of them.
func installFilter() (int, error) {
	const ( // in struct seccomp_data
		offsetOfNumber       = 0
		offsetOfArchitecture = 4
	)
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	ret := func(value uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: value}
	}
	equal := func(value uint32, yes, no uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jt: yes, Jf: no}
	}
	program := []unix.SockFilter{load(offsetOfArchitecture), equal(auditArchitecture, 1, 0), ret(unix.SECCOMP_RET_ALLOW),
		load(offsetOfNumber)}
	for number := range interceptedCalls {
		program = append(program, equal(uint32(number), 0, 1), ret(unix.SECCOMP_RET_USER_NOTIF))
	}
	program = append(program, ret(unix.SECCOMP_RET_ALLOW))
	code := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	listener, _, errno := unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV,
		uintptr(unsafe.Pointer(&code)))
	runtime.KeepAlive(program)
	if errno != 0 {
		return 0, errno
	}
	return int(listener), nil
}

// Start starts a command under a new supervisor. The command must not have ExtraFiles.
func Start(command *exec.Cmd) (*Supervisor, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	defer unix.Close(pair[0])
	childSide := os.NewFile(uintptr(pair[1]), "seccomp-socket")
	defer childSide.Close()
	command.Args = append([]string{self, command.Path}, command.Args[1:]...)
	command.Path = self
	if command.Env == nil {
		command.Env = os.Environ()
	}
	command.Env = append(command.Env, launcherEnv+"=1")
	command.ExtraFiles = []*os.File{childSide}
	if err := command.Start(); err != nil {
		return nil, err
	}
	childSide.Close()
	listener, err := receiveDescriptor(pair[0])
	if err != nil {
		command.Process.Kill()
		command.Wait()
		return nil, fmt.Errorf("receive the seccomp listener: %w", err)
	}
	s := &Supervisor{listener: listener, done: make(chan struct{})}
	go s.run()
	return s, nil
}

func receiveDescriptor(socket int) (int, error) {
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, size, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:size])
	if err != nil {
		return 0, err
	}
	if len(messages) != 1 {
		return 0, fmt.Errorf("launcher exited early: got %d control messages, want 1", len(messages))
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return descriptors[0], nil
}
