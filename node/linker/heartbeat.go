package linker

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// timing has the times that apply to a link in its present state.
type timing struct {
	// beat is the time without a message from this end after which it sends a
	// heartbeat.
	beat time.Duration
	// silent and dead are the times without a message from the other end after which
	// the link counts as silent, and is ended; 0 for silent means never.
	silent, dead time.Duration
	// since is when the state began.
	since time.Time
}

func (k *link) timing(now time.Time) timing {
	if since, active := k.calls.activeSince(now); active {
		return timing{beat: k.owner.Heartbeat, silent: k.owner.SilentAfter, dead: k.owner.DeadAfter, since: since}
	}
	return timing{beat: quietBeat, dead: quietSilence, since: k.opened}
}

// startTimer starts the timer that sends heartbeats and watches for silence.
func (k *link) startTimer() {
	k.opened = time.Now()
	k.lastRead.Store(steady())
	k.lastWrite.Store(steady())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.firesAt = k.opened.Add(k.owner.Heartbeat)
	k.timer = time.AfterFunc(k.owner.Heartbeat, k.onTimer)
}

func (k *link) stopTimer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer.Stop()
}

// fireWithin has the timer fire within a time.
func (k *link) fireWithin(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at := time.Now().Add(d); k.timer != nil && at.Before(k.firesAt) {
		k.firesAt = at
		k.timer.Reset(d)
	}
}

func (k *link) fireIn(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.firesAt = time.Now().Add(d)
	k.timer.Reset(d)
}

// onTimer sends a heartbeat if one is due, ends the link when nothing arrived for
// longer than its state allows, and sets the timer anew.
func (k *link) onTimer() {
	if k.ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	due := k.firesAt
	k.mu.Unlock()
	now := time.Now()
	if now.Sub(due) > stallTime {
		k.fireIn(stallTime)
		return
	}
	r := k.timing(now)
	heard := now.Sub(later(r.since, k.lastRead.Load()))
	wrote := now.Sub(later(r.since, k.lastWrite.Load()))
	switch {
	case heard >= r.dead && !faultswitch.Off(faultswitch.LinkSilence):
		k.end("silent")
		return
	case k.writeStuck(now):
		k.end("write stuck")
		return
	case k.idle():
		k.end("idle")
		return
	}
	next := r.dead - heard
	if r.silent > heard {
		next = min(next, r.silent-heard)
	} else if r.silent > 0 && !k.silent.Swap(true) {
		k.owner.silent(k)
	}
	if wrote >= r.beat {
		k.beats++
		_ = k.push(cassiatally.Ping{Seq: k.beats})
		wrote = 0
	}
	k.fireIn(max(min(next, r.beat-wrote), leastInterval))
}

// writeStuck reports whether the other end has not taken a frame for too long.
func (k *link) writeStuck(now time.Time) bool {
	began := k.writeBegan.Load()
	return began != 0 && now.Sub(at(began)) >= k.owner.DeadAfter
}

// processStart is what readings of the steady clock count from.
var processStart = time.Now()

// steady returns the nanoseconds since the start of the process. Unlike the time of
// day it does not jump, which would end all links as silent.
func steady() int64 { return int64(time.Since(processStart)) }

// at returns the time of a reading of the steady clock.
func at(reading int64) time.Time { return processStart.Add(time.Duration(reading)) }

// later returns the later of a time and a reading of the steady clock.
func later(t time.Time, reading int64) time.Time {
	if u := at(reading); u.After(t) {
		return u
	}
	return t
}
