package callerconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/cassiatally/cassiatally/node/callerconn"
)

const longBytes = 16 * mib // more than the kernel takes

// longOrShort answers requests for /long with more than the kernel takes.
func longOrShort(_ context.Context, r callerconn.Request) callerconn.Response {
	a := callerconn.Response{Status: http.StatusOK}
	if r.URL.Path == "/long" {
		a.Body = make([]byte, longBytes)
	}
	return a
}

// startLong returns a connection whose answer is being written, and which that answer keeps.
func startLong(t *testing.T, s *callerconn.Server) (net.Conn, *bufio.Reader, *http.Response) {
	t.Helper()
	conn := dial(t, s, strings.Replace(get, "/ ", "/long ", 1))
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.Close {
		t.Fatal("the answer closes its connection")
	}
	return conn, r, resp
}

func readBody(t *testing.T, resp *http.Response) {
	t.Helper()
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); n != longBytes || err != nil {
		t.Fatal(n, err)
	}
}

// Guards against a request that gets no answer because the server leaves while the answer
// before it, which keeps the connection, is being written.
func TestLeaveDuringAWrite(t *testing.T) {
	is := is.New(t)
	s := run(t, &callerconn.Server{Capacity: 64 * mib, Serve: longOrShort})
	conn, r, long := startLong(t, s)
	s.Leave()
	_, err := io.WriteString(conn, get)
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the server has received it
	readBody(t, long)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
}

// Guards against a connection that stays open after a drain, since its last answer was
// already being written when the drain began.
func TestDrainDuringAWrite(t *testing.T) {
	is := is.New(t)
	s := run(t, &callerconn.Server{Capacity: 64 * mib, Serve: longOrShort})
	conn, r, long := startLong(t, s)
	drained := make(chan struct{})
	go func() {
		s.Drain(context.Background())
		close(drained)
	}()
	eventually(t, "the server accepts no connections", func() bool {
		c, err := net.Dial("tcp", string(s.Listen))
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	time.Sleep(100 * time.Millisecond) // the drain waits
	readBody(t, long)
	<-drained
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a drain that closes a connection whose next request has arrived but was not
// yet read.
func TestDrainAnswersWhatHasArrived(t *testing.T) {
	// With one processor, the server seldom reads the request before Drain is called.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		t.Run("", func(t *testing.T) {
			is := is.New(t)
			s := run(t, &callerconn.Server{Serve: ok})
			conn := dial(t, s, get)
			is.Equal(status(t, conn), 200)
			eventually(t, "the connection is idle", func() bool { return s.Held() == 0 })
			_, err := io.WriteString(conn, get)
			is.NoErr(err)
			awaitAcknowledged(t, conn.(*net.TCPConn))
			s.Drain(context.Background())
			is.Equal(status(t, conn), 200)
		})
	}
}

// awaitAcknowledged waits until the kernel of the peer has all bytes that were written.
func awaitAcknowledged(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for unsent := 1; unsent > 0; {
		if err := raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); err != nil {
			t.Fatal(err)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a drain that resets a connection which has a request and was not yet
// accepted.
func TestDrainAnswersWhatIsNotAccepted(t *testing.T) {
	// With one processor, the server seldom accepts the connection before Drain is called.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		t.Run("", func(t *testing.T) {
			is := is.New(t)
			s := run(t, &callerconn.Server{Serve: ok})
			to := netip.MustParseAddrPort(string(s.Listen))
			// Connects without a switch to the goroutine that accepts.
			fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			is.NoErr(err)
			f := os.NewFile(uintptr(fd), "client")
			defer f.Close()
			is.NoErr(unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 10}))
			is.NoErr(unix.Connect(fd, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}))
			_, err = unix.Write(fd, []byte(get))
			is.NoErr(err)
			for unsent := 1; unsent > 0; {
				unsent, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
				is.NoErr(err)
			}
			s.Drain(context.Background())
			is.Equal(status(t, f), 200)
		})
	}
}
