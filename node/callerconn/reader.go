package callerconn

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// readBufferBytes is the size of the buffer of a connection that receives a request.
	// An idle connection has none.
	readBufferBytes = 4 << 10
	// noFD is the descriptor of a source that reads through its net.Conn.
	noFD = -1
)

// errNothingYet is returned by a read without waiting that finds nothing.
var errNothingYet = errors.New("no bytes to read yet")

// reader is the buffer in which the bytes of a connection are received.
type reader struct {
	*bufio.Reader
	source source
}

// source reads the bytes of a connection.
type source struct {
	conn net.Conn
	// fd, if not noFD, is read without waiting. blocked is set when it had nothing.
	fd      int
	blocked bool
	// prefix has bytes that a smaller reader had received.
	prefix []byte
	// before is called before each read that waits, and after with the bytes received.
	before func()
	after  func(n int)
}

var readers = sync.Pool{New: func() any { return newReader(readBufferBytes) }}

func newReader(size int) *reader {
	r := &reader{}
	r.Reader = bufio.NewReaderSize(&r.source, size)
	return r
}

// release returns a reader to the pool, unless it has another size.
func (r *reader) release() {
	if r.Size() != readBufferBytes {
		return
	}
	r.source = source{}
	r.Reset(&r.source)
	readers.Put(r)
}

// grow returns a reader with a larger buffer and the same bytes, and releases r.
func (r *reader) grow(size int) *reader {
	received, _ := r.Peek(r.Buffered())
	out := newReader(size)
	out.source = r.source
	out.source.prefix = append([]byte(nil), received...)
	_, _ = out.Peek(len(received))
	r.release()
	return out
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	switch {
	case len(s.prefix) > 0:
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	case s.fd != noFD:
		n, err := readNow(s.fd, p)
		s.blocked = n == 0 && err == nil
		if s.blocked {
			return 0, errNothingYet
		}
		return n, err
	}
	s.before()
	n, err := s.conn.Read(p)
	if n > 0 {
		s.after(n)
	}
	return n, err
}

// readNow reads what a non-blocking descriptor has, which may be nothing.
func readNow(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}
