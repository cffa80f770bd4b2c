package settingsloader

import (
	"fmt"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	seedsKey = "seeds"
	// keyBeforeSeeds is the key after which Describe prints the seeds.
	lastBeforeSeeds = "advertise.links"

	maxCount    = 1 << 20
	maxRetries  = 16
	maxShards   = 1024
	maxRate     = 1e6
	minDuration = time.Millisecond
	maxDuration = 7 * 24 * time.Hour
	maxStored   = 1 << 30
)

// field is one key of the file and the setting that it stores.
type field struct {
	path     string
	required bool
	// set stores the value, or returns what is wrong and how to correct it.
	set   func(s *Settings, value string) (message, fix string)
	print func(s *Settings) string
}

// valueFormat parses and prints the values of one type.
type kind[T any] struct {
	parse func(value string) (v T, message string)
	print func(T) string
	right string
}

func keyOf[T any](path string, at func(*Settings) *T, k kind[T]) field {
	set := func(s *Settings, value string) (message, fix string) {
		v, message := k.parse(value)
		if message != "" {
			return message, k.right
		}
		*at(s) = v
		return "", ""
	}
	print := func(s *Settings) string { return k.print(*at(s)) }
	return field{path: path, set: set, print: print}
}

func requiredKey[T any](path string, at func(*Settings) *T, k kind[T]) field {
	f := keyOf(path, at, k)
	f.required = true
	return f
}

var schema = []field{
	requiredKey("node.id", func(s *Settings) *cassiatally.NodeID { return &s.Node.ID }, name[cassiatally.NodeID]()),
	requiredKey("node.data_centre", func(s *Settings) *cassiatally.DataCentre { return &s.Node.DataCentre }, name[cassiatally.DataCentre]()),
	requiredKey("listen.callers", func(s *Settings) *cassiatally.Address { return &s.Listen.Callers }, listenAddress()),
	keyOf("listen.backend", func(s *Settings) *cassiatally.Address { return &s.Listen.Backend }, listenAddress()),
	requiredKey("listen.links", func(s *Settings) *cassiatally.Address { return &s.Listen.Links }, listenAddress()),
	keyOf("listen.admin", func(s *Settings) *cassiatally.Address { return &s.Listen.Admin }, listenAddress()),
	keyOf(lastBeforeSeeds, func(s *Settings) *cassiatally.Address { return &s.Advertise.Links }, advertisedAddress()),
	requiredKey("log.address", func(s *Settings) *string { return &s.Log.Address }, logURL()),
	keyOf("log.timeout", func(s *Settings) *time.Duration { return &s.Log.Timeout }, duration()),
	keyOf("control", func(s *Settings) *Control { return &s.Control }, oneOf(ControlAdaptive, ControlFixed, ControlOff)),
	keyOf("fixed.limit", func(s *Settings) *cassiatally.Concurrency { return &s.Fixed.Limit }, count[cassiatally.Concurrency](0, maxCount)),
	keyOf("fixed.queue", func(s *Settings) *int { return &s.Fixed.Queue }, count[int](0, maxCount)),
	keyOf("requests.max_body", func(s *Settings) *ByteSize { return &s.Requests.MaxBody }, byteSize(1, cassiatally.MaxBody)),
	keyOf("requests.default_timeout", func(s *Settings) *time.Duration { return &s.Requests.DefaultTimeout }, duration()),
	keyOf("requests.max_timeout", func(s *Settings) *time.Duration { return &s.Requests.MaxTimeout }, duration()),
	keyOf("requests.max_in_flight", func(s *Settings) *int { return &s.Requests.MaxInFlight }, count[int](1, maxCount)),
	keyOf("retries.per_root", func(s *Settings) *cassiatally.RetryCount { return &s.Retries.PerRoot }, count[cassiatally.RetryCount](0, maxRetries)),
	keyOf("retries.ratio", func(s *Settings) *float64 { return &s.Retries.Ratio }, number(0, 1)),
	keyOf("retries.min_per_second", func(s *Settings) *float64 { return &s.Retries.MinPerSecond }, number(0, maxRate)),
	keyOf("keys.shards", func(s *Settings) *int { return &s.Keys.Shards }, count[int](1, maxShards)),
	keyOf("keys.answer_ttl", func(s *Settings) *time.Duration { return &s.Keys.AnswerTTL }, duration()),
	keyOf("keys.rotation", func(s *Settings) *time.Duration { return &s.Keys.Rotation }, duration()),
	keyOf("keys.stored_answers", func(s *Settings) *ByteSize { return &s.Keys.StoredAnswers }, byteSize(0, maxStored)),
	keyOf("gossip.interval", func(s *Settings) *time.Duration { return &s.Gossip.Interval }, duration()),
	keyOf("gossip.suspect_after", func(s *Settings) *time.Duration { return &s.Gossip.SuspectAfter }, duration()),
	keyOf("gossip.remove_after", func(s *Settings) *time.Duration { return &s.Gossip.RemoveAfter }, duration()),
	keyOf("links.heartbeat", func(s *Settings) *time.Duration { return &s.Links.Heartbeat }, duration()),
	keyOf("links.dead_after", func(s *Settings) *time.Duration { return &s.Links.DeadAfter }, duration()),
	keyOf("drain.timeout", func(s *Settings) *time.Duration { return &s.Drain.Timeout }, duration()),
	keyOf("log_level", func(s *Settings) *LogLevel { return &s.LogLevel }, oneOf(LevelDebug, LevelInfo, LevelWarn, LevelError)),
}

// relation is a rule that relates two keys. A violation is reported at the first
// of paths that is in the file.
type relation struct {
	paths []string
	holds func(s *Settings) bool
	wrong func(s *Settings) string
	right string
}

var relations = []relation{
	longer("requests.max_timeout", "requests.default_timeout", true, func(s *Settings) (long, short time.Duration) {
		return s.Requests.MaxTimeout, s.Requests.DefaultTimeout
	}),
	longer("gossip.suspect_after", "gossip.interval", false, func(s *Settings) (long, short time.Duration) {
		return s.Gossip.SuspectAfter, s.Gossip.Interval
	}),
	longer("gossip.remove_after", "gossip.suspect_after", false, func(s *Settings) (long, short time.Duration) {
		return s.Gossip.RemoveAfter, s.Gossip.SuspectAfter
	}),
	longer("links.dead_after", "links.heartbeat", false, func(s *Settings) (long, short time.Duration) {
		return s.Links.DeadAfter, s.Links.Heartbeat
	}),
	{
		paths: []string{"advertise.links", "listen.links"},
		holds: func(s *Settings) bool { return !unspecified(connectTo(s)) },
		wrong: func(s *Settings) string {
			return fmt.Sprintf("other nodes cannot connect to %s", connectTo(s))
		},
		right: "set advertise.links to the IP number and port that other nodes connect to",
	},
}

func connectTo(s *Settings) cassiatally.Address {
	if s.Advertise.Links != "" {
		return s.Advertise.Links
	}
	return s.Listen.Links
}

func longer(long, short string, orEqual bool, durations func(*Settings) (time.Duration, time.Duration)) relation {
	than := "longer than "
	if orEqual {
		than = "no shorter than "
	}
	return relation{
		paths: []string{long, short},
		holds: func(s *Settings) bool {
			l, sh := durations(s)
			return l > sh || (orEqual && l == sh)
		},
		wrong: func(s *Settings) string {
			l, sh := durations(s)
			return fmt.Sprintf("%s is %s and %s is %s", long, printDuration(l), short, printDuration(sh))
		},
		right: "make " + long + " " + than + short,
	}
}
