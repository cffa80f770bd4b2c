package frameproxy_test

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/standin/frameproxy"
)

const testTimeout = 30 * time.Second

// linkEnd is one end of a link.
type linkEnd struct {
	t     *testing.T
	conn  *websocket.Conn
	codec *protocol.Codec
}

func (e linkEnd) write(messages ...cassiatally.Message) {
	e.t.Helper()
	for _, m := range messages {
		frame, err := e.codec.Encode(m)
		if err != nil {
			e.t.Fatal(err)
		}
		if err := e.conn.Write(e.t.Context(), websocket.MessageBinary, frame); err != nil {
			e.t.Fatal(err)
		}
	}
}

// readAnswers returns the answers that arrive before the next other message, each
// as its id and detail.
func (e linkEnd) readAnswers() string {
	e.t.Helper()
	var b strings.Builder
	for {
		a, ok := e.readMessage().(cassiatally.Answer)
		if !ok {
			return b.String()
		}
		b.WriteString(string('0'+rune(a.ID.Seq)) + a.Detail + " ")
	}
}

// readSheet returns the version of the next message, which has to be a sheet.
func (e linkEnd) readSheet() cassiatally.Version {
	e.t.Helper()
	m, ok := e.readMessage().(cassiatally.SheetRecord)
	if !ok {
		e.t.Fatalf("%T is not a sheet record", m)
	}
	return m.Version
}

func (e linkEnd) readMessage() cassiatally.Message {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(e.t.Context(), testTimeout)
	defer cancel()
	_, frame, err := e.conn.Read(ctx)
	if err != nil {
		e.t.Fatal(err)
	}
	m, err := e.codec.Decode(frame)
	if err != nil {
		e.t.Fatal(err)
	}
	return m
}

// openLink returns both ends of a link through a proxy.
func openLink(t *testing.T) (p *frameproxy.Proxy, near, far linkEnd) {
	t.Helper()
	codec, err := protocol.New()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *websocket.Conn, 1)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := websocket.Accept(w, r, nil); err == nil {
			accepted <- conn
		}
	}))
	t.Cleanup(target.Close)
	p = &frameproxy.Proxy{Listen: "127.0.0.1:0", Target: cassiatally.Address(target.Listener.Addr().String())}
	if err := p.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	conn, resp, err := websocket.Dial(t.Context(), "ws://"+string(p.Address())+"/v1/link", nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	other := <-accepted
	t.Cleanup(func() { _ = other.CloseNow() })
	return p, linkEnd{t, conn, codec}, linkEnd{t, other, codec}
}

// Guards against a link that is forwarded although the answer to its handshake has a
// malformed field line.
func TestMalformedHandshake(t *testing.T) {
	is := is.New(t)
	forwarded := make(chan []byte, 1)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		digest := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: %s\r\nX Odd: 1\r\n\r\n",
			base64.StdEncoding.EncodeToString(digest[:]))
		first := make([]byte, 1)
		n, _ := conn.Read(first)
		forwarded <- first[:n]
	}))
	defer target.Close()
	p := &frameproxy.Proxy{Listen: "127.0.0.1:0", Target: cassiatally.Address(target.Listener.Addr().String())}
	is.NoErr(p.Start(t.Context()))
	defer p.Close()
	conn, resp, err := websocket.Dial(t.Context(), "ws://"+string(p.Address())+"/v1/link", nil)
	is.NoErr(err)
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	defer func() { _ = conn.CloseNow() }()
	_ = conn.Write(t.Context(), websocket.MessageBinary, []byte("frame")) // the proxy may have closed the link
	is.Equal(len(<-forwarded), 0)
}

func answer(id uint64, detail string) cassiatally.Answer {
	return cassiatally.Answer{ID: cassiatally.CallID{Seq: id}, Detail: detail}
}

// Guards against a mode that alters answers in another way than documented, or
// that loses answers that it held back.
func TestModes(t *testing.T) {
	cases := []struct {
		mode        frameproxy.Mode
		direction   frameproxy.Direction
		want, after string
	}{
		{frameproxy.ModePass, frameproxy.DirectionBoth, "1a 2b 3c ", ""},
		{frameproxy.ModeDouble, frameproxy.DirectionBoth, "1a 1a 2b 2b 3c 3c ", ""},
		{frameproxy.ModeLate, frameproxy.DirectionDown, "2b 3c 1a ", ""},
		{frameproxy.ModeCross, frameproxy.DirectionBoth, "2a 1b 1a 2b ", "3c "},
		{frameproxy.ModeSwap, frameproxy.DirectionDown, "2a 1b ", "3c "},
		{frameproxy.ModeSwap, frameproxy.DirectionUp, "1a 2b 3c ", ""},
	}
	for _, c := range cases {
		t.Run(string(c.mode)+" "+string(c.direction), func(t *testing.T) {
			is := is.New(t)
			p, near, far := openLink(t)
			is.NoErr(p.Apply(t.Context(), frameproxy.Change{Answers: c.mode, Direction: c.direction}))
			far.write(answer(1, "a"), answer(2, "b"), answer(3, "c"), cassiatally.Ping{Seq: 1})
			is.Equal(near.readAnswers(), c.want)
			is.NoErr(p.Apply(t.Context(), frameproxy.Change{Answers: frameproxy.ModePass}))
			far.write(cassiatally.Ping{Seq: 2})
			is.Equal(near.readAnswers(), c.after)
		})
	}
}

// Guards against a sheet that is not held back, that delays later ones, or that is
// lost.
func TestHoldSheet(t *testing.T) {
	is := is.New(t)
	p, near, far := openLink(t)
	is.NoErr(p.Apply(t.Context(), frameproxy.Change{HoldSheet: true}))
	far.write(cassiatally.SheetRecord{Version: 1}, cassiatally.SheetRecord{Version: 2})
	is.Equal(near.readSheet(), cassiatally.Version(2))
	is.NoErr(p.Apply(t.Context(), frameproxy.Change{Answers: frameproxy.ModePass}))
	is.Equal(near.readSheet(), cassiatally.Version(1))
	far.write(cassiatally.SheetRecord{Version: 3})
	is.Equal(near.readSheet(), cassiatally.Version(3))
}

// Guards against a change for the links of one node that applies to those of
// another.
func TestPeer(t *testing.T) {
	for _, peer := range []cassiatally.NodeID{"n1", "n2"} {
		is := is.New(t)
		p, near, far := openLink(t)
		near.write(cassiatally.Hello{From: cassiatally.NodeRef{Node: "n1", Incarnation: 1}})
		is.Equal(far.readAnswers(), "") // the proxy has read the hello
		is.NoErr(p.Apply(t.Context(), frameproxy.Change{Answers: frameproxy.ModeDouble, Peer: peer}))
		far.write(answer(1, "a"), cassiatally.Ping{Seq: 1})
		want := "1a "
		if peer == "n1" {
			want = "1a 1a "
		}
		is.Equal(near.readAnswers(), want)
	}
}
