// Package publisher publishes a sheet in the stream sheet of the log service.
//
// # Usage
//
//	p := publisher.Publisher{Log: log, Codec: codec, Name: "planning"}
//	result, err := p.Publish(ctx, basedOn, s)
//	var conflict *publisher.Conflict
//	if errors.As(err, &conflict) {
//		show(conflict.Winner)
//	}
//
// The log decides which of several publishers wins: the first record that is
// based on the version in force. The publisher learns this only by reading back.
// An append whose answer was lost is looked for before it is sent again. A copy
// that arrives late does no harm, because it has the same content and the first
// one wins.
//
// When the context ends before the log was read back, the error is of
// KindLogUnavailable. Its outcome is unknown if an append was sent, otherwise
// not_run.
package publisher

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
	"github.com/cassiatally/cassiatally/cassiatally/sheetreader"
)

const (
	// firstPause is the pause after the first failure; each further one is twice
	// as long, up to maxPause.
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
	// readBackWait is the long poll for a record that was appended.
	readBackWait = time.Second
	// maxName bounds the name of a publisher, in bytes.
	maxName = 128
)

// Publisher publishes sheets. Its fields are set before use.
type Publisher struct {
	Log   cassiatally.Log
	Codec *protocol.Codec
	// Name tells readers who published the sheet.
	Name string
}

// Result is a sheet that was accepted.
type Result struct {
	Record cassiatally.SheetRecord
	Offset cassiatally.Offset
	// AlreadyAccepted is set when the log had the accepted record before this publication
	// appended anything.
	AlreadyAccepted bool
}

// Conflict tells that another sheet is in force instead.
type Conflict struct {
	// Winner is the record in force. Its version is 0 when there is none.
	Winner cassiatally.SheetRecord
	cause  *cassiatally.Error
}

// Error returns the kind and what to do next.
func (c *Conflict) Error() string { return c.cause.Error() }

// Unwrap returns the Error of KindVersionConflict.
func (c *Conflict) Unwrap() error { return c.cause }

// Publish appends the sheet as the version after basedOn and returns when the
// log shows whether it was accepted.
func (p *Publisher) Publish(ctx context.Context, basedOn cassiatally.Version, s sheet.Sheet) (Result, error) {
	record := cassiatally.SheetRecord{
		Version:   basedOn + 1,
		BasedOn:   basedOn,
		Publisher: p.Name,
		Sheet:     s.CSV(),
	}
	record.Digest = cassiatally.DigestOf(record.Sheet)
	frame, err := p.encode(record)
	if err != nil {
		return Result{}, err
	}
	a := attempt{
		log:    p.Log,
		reader: sheetreader.New(p.Log, p.Codec),
		record: record,
		frame:  frame,
		pause:  firstPause,
	}
	return a.run(ctx)
}

func (p *Publisher) encode(r cassiatally.SheetRecord) ([]byte, error) {
	if p.Name == "" || len(p.Name) > maxName {
		return nil, cassiatally.NewError(cassiatally.KindUsage, "the name of the publisher must have 1 to %d bytes", maxName)
	}
	if len(r.Sheet) > sheet.MaxBytes {
		return nil, cassiatally.NewError(cassiatally.KindTooLarge, "the sheet has %d bytes; at most %d are allowed", len(r.Sheet), sheet.MaxBytes)
	}
	frame, err := p.Codec.Encode(r)
	return frame, errors.Wrap(err, "encode the sheet")
}

// attempt is one publication.
type attempt struct {
	log    cassiatally.Log
	reader *sheetreader.Reader
	record cassiatally.SheetRecord
	frame  []byte
	pause  time.Duration

	sent bool
	// won is the place of the own record once it is read as accepted.
	won *cassiatally.Offset
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	if err := a.reader.ReadToEnd(ctx, a.note); err != nil {
		return Result{}, a.unresolved(err)
	}
	for !a.decided() {
		if err := a.append(ctx); err != nil {
			return Result{}, err
		}
	}
	if a.won == nil && a.sent && !a.reader.Folder.HasBase() {
		return Result{}, a.unresolved(errors.New("the log dropped records before they were read"))
	}
	if a.won == nil {
		return Result{}, a.conflict()
	}
	return Result{Record: a.record, Offset: *a.won, AlreadyAccepted: !a.sent}, nil
}

func (a *attempt) note(e sheetreader.Entry) {
	if e.Accepted && a.own(e.Record) {
		a.won = &e.Offset
	}
}

func (a *attempt) own(r cassiatally.SheetRecord) bool {
	return r.Version == a.record.Version && r.BasedOn == a.record.BasedOn &&
		r.Publisher == a.record.Publisher && r.Digest == a.record.Digest
}

// decided reports whether what was read tells the end: the own record was
// accepted, or another version than basedOn is in force.
func (a *attempt) decided() bool {
	current, _ := a.reader.Folder.Current()
	return a.won != nil || !a.reader.Folder.HasBase() || current.Version != a.record.BasedOn
}

// append sends the record once and reads back. It returns without an error when
// the log was read up to its end after the append.
func (a *attempt) append(ctx context.Context) error {
	a.sent = true
	offset, err := a.log.Append(ctx, sheetreader.Stream, a.frame)
	if err == nil {
		return a.readPast(ctx, offset)
	}
	switch cassiatally.KindOf(err) {
	case cassiatally.KindTooLarge, cassiatally.KindBadRequest:
		return errors.Wrap(err, "append the sheet")
	}
	return a.resolve(ctx, err)
}

// resolve reads the log to its end after an append whose answer is not known.
func (a *attempt) resolve(ctx context.Context, cause error) error {
	for {
		if err := a.sleep(ctx); err != nil {
			return a.unresolved(cause)
		}
		err := a.reader.ReadToEnd(ctx, a.note)
		if err == nil {
			return nil
		}
		cause = err
	}
}

func (a *attempt) readPast(ctx context.Context, offset cassiatally.Offset) error {
	for a.reader.Folder.Next() <= offset {
		n, err := a.reader.Read(ctx, readBackWait, a.note)
		if err == nil && n > 0 {
			continue
		}
		if pauseErr := a.sleep(ctx); pauseErr != nil {
			return a.unresolved(errors.CombineErrors(err, pauseErr))
		}
	}
	return nil
}

// sleep waits for the next try. It returns an error when the context ends.
func (a *attempt) sleep(ctx context.Context) error {
	timer := time.NewTimer(a.pause)
	defer timer.Stop()
	a.pause = min(2*a.pause, maxPause)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (a *attempt) unresolved(cause error) error {
	e := cassiatally.NewError(cassiatally.KindLogUnavailable,
		"nothing was published (%v); publish again when the log service answers", cause)
	e.Outcome = cassiatally.OutcomeNotRun
	if a.sent {
		e = cassiatally.NewError(cassiatally.KindLogUnavailable,
			"it is not known whether version %d was accepted (%v); publish the same sheet again with the same name and version to learn it", a.record.Version, cause)
	}
	return e
}

func (a *attempt) conflict() error {
	current, ok := a.reader.Folder.Current()
	detail := fmt.Sprintf("the sheet is based on version %d, but version %d by %s is in force; compare the sheets and publish based on version %d",
		a.record.BasedOn, current.Version, current.Publisher, current.Version)
	switch {
	case !a.reader.Folder.HasBase():
		detail = "the log no longer has the record of the version in force; publish again after a node has appended it again"
	case !ok:
		detail = fmt.Sprintf("the sheet is based on version %d, but no version is in force; publish based on version 0", a.record.BasedOn)
	}
	return &Conflict{Winner: current, cause: cassiatally.NewError(cassiatally.KindVersionConflict, "%s", detail)}
}
