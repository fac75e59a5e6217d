package main

import (
	"encoding/json"
	"net"
	"os"
	"syscall"
	"time"
)

// What a supervisor and its child, which may be of other versions, know of each other. None of it may change.
const (
	programEnv          = "CHALKRING_KEPT" // path of the child's program, as the supervisor started it
	failureEnv          = "CHALKRING_FELL" // why the child before it failed
	installedProgramEnv = "CHALKRING_OWN"  // path of the installed program
	listenerFd          = 3                // of the listening socket, in a child
	supervisorFd        = 4                // of the pipe to the supervisor: a supervisorMessage in a line, as JSON
	maxMessageBytes     = 1 << 16          // of a line
)

// supervisorMessage is what a child sends to its supervisor.
type supervisorMessage struct {
	Serving bool       `json:"serving,omitempty"` // the child answers clients
	Next    *successor `json:"next,omitempty"`
}

// successor is the program that is to take the place of a child.
type successor struct {
	Program      string        `json:"program"`
	ReadyTimeout time.Duration `json:"ready"` // in which it has to serve
	AfterExit    bool          `json:"after"` // whether it starts only after the child has ended, since it needs what the child holds
}

// isSupervised reports whether this process is a supervisor's child.
func isSupervised() bool { return os.Getenv(programEnv) != "" }

// openSupervisorFiles opens the pipe to the supervisor and the socket that it handed over. Programs that this process
// starts do not inherit them.
func openSupervisorFiles() (pipe *os.File, listener net.Listener, err error) {
	for _, fd := range []int{listenerFd, supervisorFd} {
		syscall.CloseOnExec(fd)
	}
	socket := os.NewFile(listenerFd, "listener")
	defer socket.Close()
	listener, err = net.FileListener(socket)
	if err != nil {
		return nil, nil, err
	}
	return os.NewFile(supervisorFd, "supervisor"), listener, nil
}

func notifySupervisor(pipe *os.File, message supervisorMessage) error {
	line, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = pipe.Write(append(line, '\n'))
	return err
}
