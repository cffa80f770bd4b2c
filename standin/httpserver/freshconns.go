package httpserver

import (
	"net"
	"net/http"
	"sync"
)

// freshConns tracks the connections that have not yet carried a request. Clients
// open such connections in advance, and http.Server.Shutdown would wait 5 s for the
// first request of each.
type freshConns struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func (f *freshConns) track(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state != http.StateNew {
		delete(f.conns, c)
		return
	}
	if f.closed {
		_ = c.Close()
		return
	}
	if f.conns == nil {
		f.conns = make(map[net.Conn]struct{})
	}
	f.conns[c] = struct{}{}
}

func (f *freshConns) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.conns {
		_ = c.Close()
	}
}
