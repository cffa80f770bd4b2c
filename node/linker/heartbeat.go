package linker

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// timing has the intervals that apply to a link in its present state.
type timing struct {
	// heartbeat is the time without a write by this end after which it sends a Ping.
	heartbeat time.Duration
	// silentAfter and deadAfter are the times without a message from the other end after
	// which the link counts as silent and is ended, respectively; 0 for silentAfter means
	// never.
	silentAfter, deadAfter time.Duration
	// since is when the state began.
	since time.Time
}

func (k *link) timing(now time.Time) timing {
	if since, active := k.calls.activeSince(now); active {
		return timing{heartbeat: k.owner.Heartbeat, silentAfter: k.owner.SilentAfter, deadAfter: k.owner.DeadAfter, since: since}
	}
	return timing{heartbeat: inactiveHeartbeat, deadAfter: inactiveDeadAfter, since: k.opened}
}

// startTimer starts the timer that sends heartbeats and detects a silent peer.
func (k *link) startTimer() {
	k.opened = time.Now()
	k.lastRead.Store(monotonic())
	k.lastWrite.Store(monotonic())
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

// fireWithin makes the timer fire no later than after d.
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

// onTimer sends a heartbeat if one is due, ends the link when nothing has arrived for
// longer than its state allows, and resets the timer. After a stall of this process it
// first gives the reader time to read what has arrived meanwhile.
func (k *link) onTimer() {
	if k.ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	due := k.firesAt
	k.mu.Unlock()
	now := time.Now()
	if now.Sub(due) > stallThreshold {
		k.fireIn(stallThreshold)
		return
	}
	t := k.timing(now)
	sinceRead := now.Sub(later(t.since, k.lastRead.Load()))
	sinceWrite := now.Sub(later(t.since, k.lastWrite.Load()))
	switch {
	case sinceRead >= t.deadAfter && !faultswitch.Off(faultswitch.LinkSilence):
		k.end("silent")
		return
	case k.writeStuck(now):
		k.end("write stuck")
		return
	case k.idle():
		k.end("idle")
		return
	}
	next := t.deadAfter - sinceRead
	if t.silentAfter > sinceRead {
		next = min(next, t.silentAfter-sinceRead)
	} else if t.silentAfter > 0 && !k.silent.Swap(true) {
		k.owner.notifySilent(k, sinceRead, now.Sub(t.since))
	}
	if sinceWrite >= t.heartbeat {
		k.heartbeats++
		_ = k.push(cassiatally.Ping{Seq: k.heartbeats})
		sinceWrite = 0
	}
	k.fireIn(max(min(next, t.heartbeat-sinceWrite), minCheckInterval))
}

// writeStuck reports whether the write under way has blocked for DeadAfter.
func (k *link) writeStuck(now time.Time) bool {
	began := k.writeBegan.Load()
	return began != 0 && now.Sub(timeOf(began)) >= k.owner.DeadAfter
}

// processStart is the origin of the monotonic clock.
var processStart = time.Now()

// monotonic returns the nanoseconds since the start of the process. Unlike the time of
// day it does not jump, which would end all links as silent.
func monotonic() int64 { return int64(time.Since(processStart)) }

// timeOf returns the time of a reading of the monotonic clock.
func timeOf(reading int64) time.Time { return processStart.Add(time.Duration(reading)) }

// later returns the later of a time and a reading of the monotonic clock.
func later(t time.Time, reading int64) time.Time {
	if u := timeOf(reading); u.After(t) {
		return u
	}
	return t
}
