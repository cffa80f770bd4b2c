package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	configTopic = "keyed.op"
	configKey   = "config"
	// defaultReadWait is the longest wait of a read.
	defaultReadWait = 30 * time.Second
	recordHeader    = 4
)

// store is a stand-in for the platform's store. Each topic has one partition.
type store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	records map[string][][]byte
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, records: make(map[string][][]byte), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("POST /log-append", s.append)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// publish appends a configuration, as the operator does.
func (s *store) publish(config string) {
	s.add(configTopic, []byte(string(rune(len(configKey)))+configKey+config))
}

func (s *store) add(topic string, records ...[]byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.records[topic])
	s.records[topic] = append(s.records[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(data) >= recordHeader {
		n := int(binary.BigEndian.Uint32(data))
		if len(data) < recordHeader+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, data[recordHeader:recordHeader+n])
		data = data[recordHeader+n:]
	}
	offset := s.add(r.URL.Query().Get("topic"), records...)
	writeJSON(w, map[string]any{"offset": offset, "end": offset + len(records)})
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.records[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	byKey := make(map[string]newestItem)
	for offset, c := range records {
		n := 1 + int(c[0])
		byKey[string(c[1:n])] = newestItem{Key: string(c[1:n]), Value: base64.StdEncoding.EncodeToString(c[n:]), Offset: offset}
	}
	items := make([]newestItem, 0, len(byKey))
	for _, it := range byKey {
		if it.Value != "" {
			items = append(items, it)
		}
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "end": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait := defaultReadWait
	if ms, err := strconv.Atoi(r.URL.Query().Get("waitMs")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		records, changed := s.records[r.URL.Query().Get("topic")], s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		default:
		}
		if len(records) > from {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRecords(w, records, len(records))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, c := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(c)))
		out = append(out, c...)
	}
	_, _ = w.Write(out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
