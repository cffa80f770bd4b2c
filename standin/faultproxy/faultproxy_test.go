package faultproxy_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/faultproxy"
)

const (
	// arrivalWait is long enough for data to arrive over loopback unless it is held back.
	arrivalWait = 100 * time.Millisecond
	testTimeout = 30 * time.Second
)

// startTarget listens and returns the connections that it accepts.
func startTarget(t *testing.T) (cassiatally.Address, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return cassiatally.Address(l.Addr().String()), conns
}

func startProxy(t *testing.T) (*faultproxy.Proxy, <-chan net.Conn) {
	t.Helper()
	address, conns := startTarget(t)
	p := &faultproxy.Proxy{Listen: "127.0.0.1:0", Target: address}
	if err := p.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, conns
}

func connect(t *testing.T, p *faultproxy.Proxy, conns <-chan net.Conn) (near, far net.Conn) {
	t.Helper()
	near, err := net.Dial("tcp", string(p.Address()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far = <-conns
	t.Cleanup(func() { far.Close() })
	return near, far
}

// passes sends one byte and reports whether it arrives within the limit.
func passes(t *testing.T, from, to net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := from.Write([]byte{1}); err != nil {
		return false
	}
	_ = to.SetReadDeadline(time.Now().Add(limit))
	_, err := to.Read(make([]byte, 1))
	return err == nil
}

// refused reports whether a new connection was reset. The reset may come before
// the dial returns or after it, since the kernel accepts before the proxy does.
func refused(c net.Conn, errDial error) bool {
	if errDial != nil {
		return errors.Is(errDial, syscall.ECONNRESET)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNRESET)
}

func limitFor(expected bool) time.Duration {
	if expected {
		return testTimeout
	}
	return arrivalWait
}

// Guards against a mode that forwards data that it has to hold back, or holds back
// data that it has to forward, on open and on new connections.
func TestModes(t *testing.T) {
	cases := []struct {
		mode     faultproxy.Mode
		existing bool
		up, down bool
		newUp    bool
	}{
		{faultproxy.ModePass, false, true, true, true},
		{faultproxy.ModeCut, false, false, false, false},
		{faultproxy.ModeRefuse, false, true, true, false},
		{faultproxy.ModeSilent, false, false, false, false},
		{faultproxy.ModeOneWayUp, false, true, false, true},
		{faultproxy.ModeOneWayDown, false, false, true, false},
		{faultproxy.ModeSilent, true, false, false, true},
		{faultproxy.ModeCut, true, false, false, true},
	}
	for _, c := range cases {
		name := string(c.mode)
		if c.existing {
			name += " on open connections only"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, conns := startProxy(t)
			near, far := connect(t, p, conns)
			is.True(passes(t, near, far, testTimeout))
			is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: c.mode, ExistingOnly: c.existing}))
			is.Equal(passes(t, near, far, limitFor(c.up)), c.up)
			is.Equal(passes(t, far, near, limitFor(c.down)), c.down)
			fresh, err := net.Dial("tcp", string(p.Address()))
			if c.mode == faultproxy.ModeCut && !c.existing || c.mode == faultproxy.ModeRefuse {
				is.True(refused(fresh, err))
				return
			}
			is.NoErr(err)
			defer fresh.Close()
			freshFar := <-conns
			defer freshFar.Close()
			is.Equal(passes(t, fresh, freshFar, limitFor(c.newUp)), c.newUp)
		})
	}
}

// Guards against data that is lost or reordered when a fault ends, and against an
// end of the connection that overtakes held data.
func TestHeldDataFollows(t *testing.T) {
	is := is.New(t)
	p, conns := startProxy(t)
	near, far := connect(t, p, conns)
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: faultproxy.ModeSilent}))
	_, err := near.Write([]byte("held back"))
	is.NoErr(err)
	is.NoErr(near.(*net.TCPConn).CloseWrite())
	_ = far.SetReadDeadline(time.Now().Add(arrivalWait))
	_, err = far.Read(make([]byte, 1))
	is.True(err != nil)
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: faultproxy.ModePass}))
	_ = far.SetReadDeadline(time.Now().Add(testTimeout))
	got, err := io.ReadAll(far)
	is.NoErr(err)
	is.Equal(string(got), "held back")
	is.True(passes(t, far, near, testTimeout)) // the opposite direction is still open
}

// Guards against a permanently silenced connection that works again when the mode
// of the proxy changes to pass.
func TestSilentPermanently(t *testing.T) {
	is := is.New(t)
	p, conns := startProxy(t)
	near, far := connect(t, p, conns)
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: faultproxy.ModeSilent, ExistingOnly: true}))
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: faultproxy.ModePass}))
	is.True(!passes(t, near, far, arrivalWait))
}

// Guards against a delay that is applied to one direction only.
func TestDelay(t *testing.T) {
	is := is.New(t)
	p, conns := startProxy(t)
	near, far := connect(t, p, conns)
	delay := 50 * time.Millisecond
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Delay: &delay}))
	for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
		begin := time.Now()
		is.True(passes(t, ends[0], ends[1], testTimeout))
		is.True(time.Since(begin) >= delay)
	}
}

// Guards against a Close that does not end the duties of a silenced connection.
func TestCloseWhileSilent(t *testing.T) {
	is := is.New(t)
	p, conns := startProxy(t)
	near, _ := connect(t, p, conns)
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: faultproxy.ModeSilent}))
	_, err := near.Write([]byte("held back"))
	is.NoErr(err)
	p.Close()
	_ = near.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = near.Read(make([]byte, 1))
	is.True(err != nil)
}

// Guards against a fault for one data centre that affects connections of another
// one, or that does not apply to new connections.
func TestMatching(t *testing.T) {
	is := is.New(t)
	p, conns := startProxy(t)
	greet := func(text string) (near, far net.Conn) {
		near, far = connect(t, p, conns)
		_, err := near.Write([]byte(text))
		is.NoErr(err)
		return near, far
	}
	read := func(far net.Conn, n int) error {
		_ = far.SetReadDeadline(time.Now().Add(testTimeout))
		_, err := io.ReadFull(far, make([]byte, n))
		return err
	}
	_, south := greet("from south")
	near, north := greet("from north")
	is.NoErr(read(south, len("from south")))
	is.NoErr(read(north, len("from north")))
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: faultproxy.ModeCut, Matching: "south"}))
	is.True(read(south, 1) != nil)
	is.True(passes(t, near, north, testTimeout))
	_, south = greet("from south")
	is.True(read(south, 1) != nil)
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Mode: faultproxy.ModePass, Matching: "south"}))
	_, south = greet("from south")
	is.NoErr(read(south, len("from south")))
}

// Guards against new connections that are forwarded to the previous target.
func TestNewTarget(t *testing.T) {
	is := is.New(t)
	p, _ := startProxy(t)
	address, conns := startTarget(t)
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{Target: address}))
	near, far := connect(t, p, conns)
	is.True(passes(t, near, far, testTimeout))
}

// Guards against an answer that is forwarded in full despite a byte limit.
func TestCutDown(t *testing.T) {
	is := is.New(t)
	p, conns := startProxy(t)
	limit := int64(3)
	is.NoErr(p.Apply(t.Context(), faultproxy.Change{CutDownAfterBytes: &limit}))
	near, far := connect(t, p, conns)
	is.True(passes(t, near, far, testTimeout))
	_, err := far.Write([]byte("answer"))
	is.NoErr(err)
	_ = near.SetReadDeadline(time.Now().Add(testTimeout))
	got, err := io.ReadAll(near)
	is.True(err != nil)
	is.True(len(got) <= int(limit))
}
