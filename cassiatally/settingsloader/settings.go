package settingsloader

import (
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Settings are the settings of one node. The comments of the fields give the YAML
// keys and the defaults; a key without a default is required.
type Settings struct {
	Node      Node
	Listen    Listen
	Advertise Advertise
	// Seeds are the link addresses of other nodes, from which a starting node gets
	// the list of all members. Default: none, for the first node.
	Seeds    []cassiatally.Address
	Log      Log
	Control  Control // adaptive
	Fixed    Fixed
	Requests Requests
	Retries  Retries
	Keys     Keys
	Gossip   Gossip
	Links    Links
	Drain    Drain
	LogLevel LogLevel // info
}

// Node identifies the node, its data centre and its fleet.
type Node struct {
	ID         cassiatally.NodeID     // id, required
	DataCentre cassiatally.DataCentre // data_centre, required
	// Fleet is the name that all nodes of the fleet share. Nodes with different names
	// refuse links to each other; one without a name accepts all.
	Fleet cassiatally.Fleet // fleet, none
}

// Listen has the addresses that the node listens on. With port 0 the kernel
// chooses the port.
type Listen struct {
	Callers cassiatally.Address // callers, required
	// Backend and Admin default to the loopback interface, because the backend
	// server runs on the same host and the status page needs no wider audience.
	Backend cassiatally.Address // backend, 127.0.0.1:7401
	Links   cassiatally.Address // links, required
	Admin   cassiatally.Address // admin, 127.0.0.1:7403
}

// Advertise has the addresses that the node announces to other nodes.
type Advertise struct {
	// Links is the address that other nodes connect to. It differs from
	// Listen.Links behind a proxy. Default: listen.links. It is empty when the
	// kernel chooses the port of listen.links; the node then fills it in.
	Links cassiatally.Address
}

// Log has the address and the timeout of requests to the log service.
type Log struct {
	Address string        // address, required
	Timeout time.Duration // timeout, 5s; must exceed the long poll of 2 s
}

// Control selects how the node bounds the load of its backend server.
type Control string

// The modes of control.
const (
	// ControlAdaptive derives limits from latency and sheds by rank.
	ControlAdaptive Control = "adaptive"
	// ControlFixed uses a fixed limit with a first-come queue.
	ControlFixed Control = "fixed"
	// ControlOff uses no limit.
	ControlOff Control = "off"
)

// Fixed has the limits of ControlFixed.
type Fixed struct {
	// Limit bounds the runs in flight. 0 stands for the announced slots.
	Limit cassiatally.Concurrency // limit, 0
	Queue int                     // queue, 1000 requests
}

// Requests bounds the size, the time and the number of requests.
type Requests struct {
	MaxBody        ByteSize      // max_body, 1MiB
	DefaultTimeout time.Duration // default_timeout, 5s
	MaxTimeout     time.Duration // max_timeout, 1m
	MaxInFlight    int           // max_in_flight, 4096 requests
}

// Retries bounds retries per call tree and as a share of successes.
type Retries struct {
	PerRoot      cassiatally.RetryCount // per_root, 2 for a whole call tree
	Ratio        float64                // ratio, 0.1 of successes
	MinPerSecond float64                // min_per_second, 1
}

// Keys has the settings of idempotency keys. All nodes of a data centre must
// have the same number of shards.
type Keys struct {
	Shards        int           // shards, 16 per data centre
	AnswerTTL     time.Duration // answer_ttl, 10m
	Rotation      time.Duration // rotation, 12h
	StoredAnswers ByteSize      // stored_answers, 16MiB
}

// Gossip has the intervals of membership updates and failure detection.
type Gossip struct {
	Interval     time.Duration // interval, 1s
	SuspectAfter time.Duration // suspect_after, 3s
	RemoveAfter  time.Duration // remove_after, 10s
}

// Links has the timing of the connections between nodes.
type Links struct {
	Heartbeat time.Duration // heartbeat, 500ms
	DeadAfter time.Duration // dead_after, 1500ms
}

// Drain bounds the graceful shutdown.
type Drain struct {
	Timeout time.Duration // timeout, 30s
}

// LogLevel is the lowest level of log lines that the node writes.
type LogLevel string

// The levels of log lines.
const (
	LevelDebug LogLevel = "debug"
	LevelInfo  LogLevel = "info"
	LevelWarn  LogLevel = "warn"
	LevelError LogLevel = "error"
)

// Defaults returns the default settings; required ones are empty.
func Defaults() Settings {
	return Settings{
		Listen:  Listen{Backend: "127.0.0.1:7401", Admin: "127.0.0.1:7403"},
		Log:     Log{Timeout: 5 * time.Second},
		Control: ControlAdaptive,
		Fixed:   Fixed{Queue: 1000},
		Requests: Requests{
			MaxBody: cassiatally.MaxBodyBytes, DefaultTimeout: 5 * time.Second,
			MaxTimeout: time.Minute, MaxInFlight: 4096,
		},
		Retries:  Retries{PerRoot: 2, Ratio: 0.1, MinPerSecond: 1},
		Keys:     Keys{Shards: 16, AnswerTTL: 10 * time.Minute, Rotation: 12 * time.Hour, StoredAnswers: 16 * mebibyte},
		Gossip:   Gossip{Interval: time.Second, SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second},
		Links:    Links{Heartbeat: 500 * time.Millisecond, DeadAfter: 1500 * time.Millisecond},
		Drain:    Drain{Timeout: 30 * time.Second},
		LogLevel: LevelInfo,
	}
}

// Describe returns the settings in force as YAML, defaults included. Load accepts
// the text and returns the same settings.
func (s *Settings) Describe() string {
	var b strings.Builder
	section := ""
	for _, f := range schema {
		value := f.print(s)
		name, key, nested := strings.Cut(f.path, ".")
		isUnset := value == quote("") // an address whose port the kernel will choose
		if nested && !isUnset && name != section {
			b.WriteString(name + ":\n")
			section = name
		}
		switch {
		case isUnset:
		case nested:
			b.WriteString("  " + key + ": " + value + "\n")
		default:
			b.WriteString(name + ": " + value + "\n")
		}
		if f.path == keyBeforeSeeds {
			b.WriteString(describeSeeds(s.Seeds))
		}
	}
	return b.String()
}

func describeSeeds(seeds []cassiatally.Address) string {
	if len(seeds) == 0 {
		return seedsKey + ": []\n"
	}
	var b strings.Builder
	b.WriteString(seedsKey + ":\n")
	for _, a := range seeds {
		b.WriteString("  - " + quote(string(a)) + "\n")
	}
	return b.String()
}
