package main

import (
	"bytes"
	"net"
	"sync"
)

// zoneHeader is in the request with which a process opens a link to another one.
const zoneHeader = "Cassiatally-Data-Centre: "

// partition tells which zones are cut off from all others.
type partition struct {
	mu     sync.Mutex
	cut    map[string]bool
	change chan struct{}
}

func newPartition() *partition {
	return &partition{cut: make(map[string]bool), change: make(chan struct{})}
}

// cutOff cuts a zone off from all others. Bytes that are on their way wait for the end of
// the cut, as behind a network that drops all packets.
func (p *partition) cutOff(zone string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[zone] = on
	close(p.change)
	p.change = make(chan struct{})
}

// wait returns true once bytes may pass between two zones, and false after the end.
func (p *partition) wait(a, b string, end <-chan struct{}) bool {
	for {
		p.mu.Lock()
		passes, change := a == b || !p.cut[a] && !p.cut[b], p.change
		p.mu.Unlock()
		if passes {
			return true
		}
		select {
		case <-change:
		case <-end:
			return false
		}
	}
}

// linkProxy stands in for the network in front of the link address of a machine.
type linkProxy struct {
	zone      string
	target    string
	partition *partition
	listener  net.Listener
	end       chan struct{}
}

func newLinkProxy(m *machine, p *partition) (*linkProxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(m.ip, "0"))
	if err != nil {
		return nil, err
	}
	x := &linkProxy{zone: m.zone, target: m.at(m.ports.links), partition: p, listener: listener, end: make(chan struct{})}
	m.advertised = listener.Addr().String()
	go x.accept()
	return x, nil
}

func (x *linkProxy) close() {
	close(x.end)
	_ = x.listener.Close()
}

func (x *linkProxy) accept() {
	for {
		conn, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.serve(conn)
	}
}

// serve forwards a connection, of which the first bytes name the zone that it comes from.
func (x *linkProxy) serve(near net.Conn) {
	defer near.Close()
	first := make([]byte, 4<<10)
	n, err := near.Read(first)
	if err != nil {
		return
	}
	from := zoneOf(first[:n])
	if !x.partition.wait(from, x.zone, x.end) {
		return
	}
	far, err := net.Dial("tcp", x.target)
	if err != nil {
		return
	}
	defer far.Close()
	if _, err := far.Write(first[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			x.forward(pair[0], pair[1], from)
			done <- struct{}{}
		}()
	}
	<-done
}

func (x *linkProxy) forward(src, dst net.Conn, from string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if !x.partition.wait(from, x.zone, x.end) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func zoneOf(head []byte) string {
	_, after, found := bytes.Cut(head, []byte(zoneHeader))
	if !found {
		return ""
	}
	zone, _, _ := bytes.Cut(after, []byte("\r\n"))
	return string(zone)
}
