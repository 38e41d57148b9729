package poll

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemCalls are the Linux system calls of the epoll kernel that may fail temporarily without a
// bug in the program. Tests replace some of them with functions that fail as the manual pages
// document.
type SystemCalls struct {
	Socket       func(domain, kind, protocol int) (int, error)
	Bind         func(fd int, at unix.Sockaddr) error
	Listen       func(fd, backlog int) error
	Connect      func(fd int, to unix.Sockaddr) error
	Accept       func(fd, flags int) (int, unix.Sockaddr, error)
	EpollControl func(epfd, op, fd int, event *unix.EpollEvent) error
	EpollWait    func(epfd int, events []unix.EpollEvent, milliseconds int) (int, error)
	Read         func(fd int, p []byte) (int, error)
	Send         func(fd int, p []byte) (int, error)
	// OpenFile opens /dev/null as the reserve descriptor of a Listener.
	OpenFile func(path string, flags int, mode uint32) (int, error)
	Close    func(fd int) error
	// WallTime returns the wall clock time, which may be stepped.
	WallTime func() time.Time
}

// LinuxCalls returns the real system calls.
func LinuxCalls() SystemCalls {
	return SystemCalls{
		Socket:       unix.Socket,
		Bind:         unix.Bind,
		Listen:       unix.Listen,
		Connect:      unix.Connect,
		Accept:       unix.Accept4,
		EpollControl: unix.EpollCtl,
		EpollWait:    unix.EpollWait,
		Read:         unix.Read,
		Send: func(fd int, p []byte) (int, error) { // does not raise SIGPIPE on a broken connection
			return unix.SendmsgN(fd, p, nil, nil, unix.MSG_NOSIGNAL)
		},
		OpenFile: unix.Open,
		Close:    unix.Close,
		WallTime: func() time.Time { return time.Now().Round(0) },
	}
}
