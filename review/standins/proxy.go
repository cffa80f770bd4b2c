package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	proxyChunk = 32 << 10
	// nodeHeader is the header field in which a node that opens a link gives its name.
	nodeHeader = "Cassiatally-Node: "
)

// network has the proxies on the links between nodes, and the pairs of nodes that are
// partitioned from each other.
type network struct {
	mu  sync.Mutex
	cut map[string]bool
	// changed is closed when the set of partitioned nodes changes.
	changed chan struct{}
}

func newNetwork() *network {
	return &network{cut: make(map[string]bool), changed: make(chan struct{})}
}

// setCut partitions a node from all others, or ends that.
func (w *network) setCut(node string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[node] = cut
	close(w.changed)
	w.changed = make(chan struct{})
}

// await waits until two nodes are not partitioned. It returns false when done is closed.
func (w *network) await(a, b string, done <-chan struct{}) bool {
	for {
		w.mu.Lock()
		blocked, changed := w.cut[a] || w.cut[b], w.changed
		w.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// proxy carries the links that other nodes open to one node.
type proxy struct {
	network  *network
	node     string
	target   string
	listener net.Listener
	done     chan struct{}

	mu   sync.Mutex
	open []net.Conn
}

func (w *network) newProxy(node, listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{network: w, node: node, target: target, listener: l, done: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	close(p.done)
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

// serve reads the head of the first message, which names the node that opens the link.
func (p *proxy) serve(near net.Conn) {
	first := make([]byte, proxyChunk)
	n, err := near.Read(first)
	if err != nil {
		_ = near.Close()
		return
	}
	first = first[:n]
	from := nodeOf(first)
	if !p.network.await(from, p.node, p.done) {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.open = append(p.open, near, far)
	p.mu.Unlock()
	if _, err := far.Write(first); err != nil {
		_ = near.Close()
		_ = far.Close()
		return
	}
	go p.relay(far, near, from)
	p.relay(near, far, from)
}

func nodeOf(head []byte) string {
	_, after, _ := bytes.Cut(head, []byte(nodeHeader))
	name, _, _ := bytes.Cut(after, []byte("\r\n"))
	return string(name)
}

// relay forwards one direction. While the nodes are partitioned it holds what has
// arrived, and also the end of the connection.
func (p *proxy) relay(to, from net.Conn, peer string) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, proxyChunk)
	for {
		n, err := from.Read(b)
		if !p.network.await(peer, p.node, p.done) {
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
