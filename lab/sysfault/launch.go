// Package sysfault runs a program of this repository as a child process whose system calls can be made to fail.
//
// The child installs a seccomp filter on itself that hands a few kinds of system calls to its parent, which lets
// each go on, fails it with an errno, shortens it or delays it. No special rights are needed, and nothing outside
// the child is touched. It works on Linux on amd64.
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

// launcherEnv marks a process that is to install the filter and become the program named in its arguments.
const launcherEnv = "JASPERSILL_LAB_UNDER_FILTER"

const parentSocket = 3 // where the launcher finds its socket to the parent

// ExecUnderFilterIfRequested turns this process into the program in its arguments when Command started it. A program
// that calls Command calls this first in its main function.
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
		return fmt.Errorf("no new privileges: %w", err)
	}
	signal.Ignore(syscall.SIGHUP) // as a shell does that is told to before it becomes the program
	environment := os.Environ()
	arguments := os.Args[1:]
	listener, err := installFilter()
	if err != nil {
		return fmt.Errorf("install the filter: %w", err)
	}
	if err := unix.Sendmsg(parentSocket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("hand over the filter: %w", err)
	}
	unix.Close(listener)
	unix.Close(parentSocket)
	return syscall.Exec(arguments[0], arguments, environment)
}

// installFilter hands the calls of trapped to whoever holds the descriptor it returns.
func installFilter() (int, error) {
	const (
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
	program := []unix.SockFilter{load(offsetOfArchitecture), equal(unix.AUDIT_ARCH_X86_64, 1, 0), ret(unix.SECCOMP_RET_ALLOW),
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

// Start starts a command, which must not have extra files, under a new supervisor.
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
	childSide := os.NewFile(uintptr(pair[1]), "hand-over")
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
		return nil, fmt.Errorf("receive the filter: %w", err)
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
		return 0, fmt.Errorf("the launcher ended early: %d control messages", len(messages))
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return descriptors[0], nil
}
