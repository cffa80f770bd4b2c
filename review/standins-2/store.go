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

const recordHeaderBytes = 4

// store stands in for the platform's store: a log with one partition for each topic.
type store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, topics: make(map[string][][]byte), changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// publish writes a configuration as the operator does.
func (s *store) publish(config []byte) {
	const key = "config"
	s.append("keyed.op", append(append([]byte{byte(len(key))}, key...), config...))
}

// append adds a record and returns its offset.
func (s *store) append(topic string, record []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, topic)
	case "/log-newest":
		s.serveNewest(w, topic)
	case "/log-read":
		s.serveRead(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first, end := -1, 0
	for len(body) >= recordHeaderBytes {
		n := int(binary.BigEndian.Uint32(body)) + recordHeaderBytes
		if n > len(body) {
			break
		}
		offset := s.append(topic, body[recordHeaderBytes:n])
		if first < 0 {
			first = offset
		}
		end = offset + 1
		body = body[n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": end})
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := make(map[string]newestItem)
	for offset, record := range records {
		n := 1 + int(record[0])
		key := string(record[1:n])
		newest[key] = newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(record[n:]), Offset: offset}
	}
	items := make([]newestItem, 0, len(newest))
	for _, item := range newest {
		items = append(items, item)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || !waiting {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the end, the first offset and the records from an offset on.
func encodeRecords(records [][]byte, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}
