package direct

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// endOf returns what the end of the bytes from nc means: io.EOF if the peer has closed its side in order, so that
// everything that it sent has arrived, and otherwise the error that ended the connection. w writes the request
// on nc. It must be called after a read has returned io.EOF, and waits for w if the connection has ended.
//
// A socket reports its error once. If the endpoint resets the connection while the request is still being
// written, the write may be what returns the error, and the next read returns io.EOF as if the endpoint had
// closed its side: a part of an answer whose end only the close marks would pass for the whole.
func endOf(nc net.Conn, w *writer) error {
	state, err := tcpState(nc)
	if err != nil {
		return err
	}
	if state == unix.BPF_TCP_CLOSE_WAIT {
		return io.EOF
	}
	<-w.done // it can't write any more
	if !isSocketError(w.err) {
		return io.EOF
	}
	return w.err
}

// isSocketError reports whether err, of a write, is the error of the socket. EPIPE is none: it means that the
// connection ended after the peer had closed its side, or that the read has returned the error.
func isSocketError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// tcpState returns the kernel's state of a TCP connection.
func tcpState(nc net.Conn) (uint8, error) {
	raw, err := rawConn(nc)
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, infoErr); err != nil {
		return 0, err
	}
	return info.State, nil
}
