package settingsloader

import (
	"fmt"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	seedsKey = "seeds"
	// keyBeforeSeeds is the key after which Describe prints the seeds.
	keyBeforeSeeds = "advertise.links"

	maxCount         = 1 << 20
	maxRetries       = 16
	maxShards        = 1024
	maxRatePerSecond = 1e6
	minDuration      = time.Millisecond
	maxDuration      = 7 * 24 * time.Hour
	maxStoredBytes   = 1 << 30
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
type valueFormat[T any] struct {
	parse func(value string) (v T, message string)
	print func(T) string
	fix   string
}

func optionalKey[T any](path string, at func(*Settings) *T, k valueFormat[T]) field {
	set := func(s *Settings, value string) (message, fix string) {
		v, message := k.parse(value)
		if message != "" {
			return message, k.fix
		}
		*at(s) = v
		return "", ""
	}
	print := func(s *Settings) string { return k.print(*at(s)) }
	return field{path: path, set: set, print: print}
}

func requiredKey[T any](path string, at func(*Settings) *T, k valueFormat[T]) field {
	f := optionalKey(path, at, k)
	f.required = true
	return f
}

var schema = []field{
	requiredKey("node.id", func(s *Settings) *cassiatally.NodeID { return &s.Node.ID }, name[cassiatally.NodeID]()),
	requiredKey("node.data_centre", func(s *Settings) *cassiatally.DataCentre { return &s.Node.DataCentre }, name[cassiatally.DataCentre]()),
	optionalKey("node.fleet", func(s *Settings) *cassiatally.Fleet { return &s.Node.Fleet }, name[cassiatally.Fleet]()),
	requiredKey("listen.callers", func(s *Settings) *cassiatally.Address { return &s.Listen.Callers }, listenAddress()),
	optionalKey("listen.backend", func(s *Settings) *cassiatally.Address { return &s.Listen.Backend }, listenAddress()),
	requiredKey("listen.links", func(s *Settings) *cassiatally.Address { return &s.Listen.Links }, listenAddress()),
	optionalKey("listen.admin", func(s *Settings) *cassiatally.Address { return &s.Listen.Admin }, listenAddress()),
	optionalKey(keyBeforeSeeds, func(s *Settings) *cassiatally.Address { return &s.Advertise.Links }, advertisedAddress()),
	requiredKey("log.address", func(s *Settings) *string { return &s.Log.Address }, logURL()),
	optionalKey("log.timeout", func(s *Settings) *time.Duration { return &s.Log.Timeout }, duration()),
	optionalKey("control", func(s *Settings) *Control { return &s.Control }, oneOf(ControlAdaptive, ControlFixed, ControlOff)),
	optionalKey("fixed.limit", func(s *Settings) *cassiatally.Concurrency { return &s.Fixed.Limit }, count[cassiatally.Concurrency](0, maxCount)),
	optionalKey("fixed.queue", func(s *Settings) *int { return &s.Fixed.Queue }, count[int](0, maxCount)),
	optionalKey("requests.max_body", func(s *Settings) *ByteSize { return &s.Requests.MaxBody }, byteSize(1, cassiatally.MaxBodyBytes)),
	optionalKey("requests.default_timeout", func(s *Settings) *time.Duration { return &s.Requests.DefaultTimeout }, duration()),
	optionalKey("requests.max_timeout", func(s *Settings) *time.Duration { return &s.Requests.MaxTimeout }, duration()),
	optionalKey("requests.max_in_flight", func(s *Settings) *int { return &s.Requests.MaxInFlight }, count[int](1, maxCount)),
	optionalKey("retries.per_root", func(s *Settings) *cassiatally.RetryCount { return &s.Retries.PerRoot }, count[cassiatally.RetryCount](0, maxRetries)),
	optionalKey("retries.ratio", func(s *Settings) *float64 { return &s.Retries.Ratio }, number(0, 1)),
	optionalKey("retries.min_per_second", func(s *Settings) *float64 { return &s.Retries.MinPerSecond }, number(0, maxRatePerSecond)),
	optionalKey("keys.shards", func(s *Settings) *int { return &s.Keys.Shards }, count[int](1, maxShards)),
	optionalKey("keys.answer_ttl", func(s *Settings) *time.Duration { return &s.Keys.AnswerTTL }, duration()),
	optionalKey("keys.rotation", func(s *Settings) *time.Duration { return &s.Keys.Rotation }, duration()),
	optionalKey("keys.stored_answers", func(s *Settings) *ByteSize { return &s.Keys.StoredAnswers }, byteSize(0, maxStoredBytes)),
	optionalKey("gossip.interval", func(s *Settings) *time.Duration { return &s.Gossip.Interval }, duration()),
	optionalKey("gossip.suspect_after", func(s *Settings) *time.Duration { return &s.Gossip.SuspectAfter }, duration()),
	optionalKey("gossip.remove_after", func(s *Settings) *time.Duration { return &s.Gossip.RemoveAfter }, duration()),
	optionalKey("links.heartbeat", func(s *Settings) *time.Duration { return &s.Links.Heartbeat }, duration()),
	optionalKey("links.dead_after", func(s *Settings) *time.Duration { return &s.Links.DeadAfter }, duration()),
	optionalKey("drain.timeout", func(s *Settings) *time.Duration { return &s.Drain.Timeout }, duration()),
	optionalKey("log_level", func(s *Settings) *LogLevel { return &s.LogLevel }, oneOf(LevelDebug, LevelInfo, LevelWarn, LevelError)),
}

// relation is a rule that relates two keys. A violation is reported at the first
// of paths that is in the file.
type relation struct {
	paths   []string
	holds   func(s *Settings) bool
	message func(s *Settings) string
	fix     string
}

var relations = []relation{
	longerThan("requests.max_timeout", "requests.default_timeout", true, func(s *Settings) (long, short time.Duration) {
		return s.Requests.MaxTimeout, s.Requests.DefaultTimeout
	}),
	longerThan("gossip.suspect_after", "gossip.interval", false, func(s *Settings) (long, short time.Duration) {
		return s.Gossip.SuspectAfter, s.Gossip.Interval
	}),
	longerThan("gossip.remove_after", "gossip.suspect_after", false, func(s *Settings) (long, short time.Duration) {
		return s.Gossip.RemoveAfter, s.Gossip.SuspectAfter
	}),
	longerThan("links.dead_after", "links.heartbeat", false, func(s *Settings) (long, short time.Duration) {
		return s.Links.DeadAfter, s.Links.Heartbeat
	}),
	{
		paths: []string{"advertise.links", "listen.links"},
		holds: func(s *Settings) bool { return !isUnspecified(advertisedLinks(s)) },
		message: func(s *Settings) string {
			return fmt.Sprintf("other nodes cannot connect to %s", advertisedLinks(s))
		},
		fix: "set advertise.links to the IP number and port that other nodes connect to",
	},
}

func advertisedLinks(s *Settings) cassiatally.Address {
	if s.Advertise.Links != "" {
		return s.Advertise.Links
	}
	return s.Listen.Links
}

func longerThan(long, short string, orEqual bool, durations func(*Settings) (time.Duration, time.Duration)) relation {
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
		message: func(s *Settings) string {
			l, sh := durations(s)
			return fmt.Sprintf("%s is %s and %s is %s", long, printDuration(l), short, printDuration(sh))
		},
		fix: "make " + long + " " + than + short,
	}
}
