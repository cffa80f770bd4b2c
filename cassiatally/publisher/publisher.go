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
// The order of the log decides which of several publishers wins: the first record
// that is based on the version in force. A publisher can detect this only by
// reading the log back. When the response to an append was lost, it looks for the
// record before it appends again. A late duplicate is harmless, because it has the
// same content and the first one wins.
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
	// initialBackoff is the backoff after the first failure. It doubles with each
	// further one, up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// readBackWait is the long-poll time of a read for the appended record.
	readBackWait = time.Second
	// maxNameBytes bounds the name of a publisher.
	maxNameBytes = 128
)

// Publisher publishes sheets. All its fields must be set before use.
type Publisher struct {
	Log   cassiatally.Log
	Codec *protocol.Codec
	// Name identifies the publisher to readers of the sheet.
	Name string
}

// Result is an accepted sheet and its place in the log.
type Result struct {
	Record cassiatally.SheetRecord
	Offset cassiatally.Offset
	// AlreadyAccepted is set when the log contained the accepted record before this
	// publication appended anything.
	AlreadyAccepted bool
}

// Conflict is the error of a publication whose sheet was not accepted, because
// another version is in force or the log has no base.
type Conflict struct {
	// Winner is the record in force. Its version is 0 when there is none.
	Winner cassiatally.SheetRecord
	cause  *cassiatally.Error
}

// Error returns the kind of the error and how to proceed.
func (c *Conflict) Error() string { return c.cause.Error() }

// Unwrap returns the Error of KindVersionConflict.
func (c *Conflict) Unwrap() error { return c.cause }

// Publish appends the sheet as the version after basedOn. It returns when the log
// was read back far enough to determine whether it was accepted.
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
		log:     p.Log,
		reader:  sheetreader.New(p.Log, p.Codec),
		record:  record,
		frame:   frame,
		backoff: initialBackoff,
	}
	return a.run(ctx)
}

func (p *Publisher) encode(r cassiatally.SheetRecord) ([]byte, error) {
	if p.Name == "" || len(p.Name) > maxNameBytes {
		return nil, cassiatally.NewError(cassiatally.KindUsage, "the name of the publisher must have 1 to %d bytes", maxNameBytes)
	}
	if len(r.Sheet) > sheet.MaxBytes {
		return nil, cassiatally.NewError(cassiatally.KindTooLarge, "the sheet has %d bytes; at most %d are allowed", len(r.Sheet), sheet.MaxBytes)
	}
	frame, err := p.Codec.Encode(r)
	return frame, errors.Wrap(err, "encode the sheet")
}

// attempt is the state of one publication.
type attempt struct {
	log     cassiatally.Log
	reader  *sheetreader.Reader
	record  cassiatally.SheetRecord
	frame   []byte
	backoff time.Duration

	sent bool
	// acceptedAt is the offset of this publisher's record once it was read as accepted.
	acceptedAt *cassiatally.Offset
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	if err := a.reader.ReadToEnd(ctx, a.recordEntry); err != nil {
		return Result{}, a.unavailableError(err)
	}
	for !a.decided() {
		if err := a.append(ctx); err != nil {
			return Result{}, err
		}
	}
	if a.acceptedAt == nil && a.sent && !a.reader.Folder.HasBase() {
		return Result{}, a.unavailableError(errors.New("the log dropped records before they were read"))
	}
	if a.acceptedAt == nil {
		return Result{}, a.conflictError()
	}
	return Result{Record: a.record, Offset: *a.acceptedAt, AlreadyAccepted: !a.sent}, nil
}

func (a *attempt) recordEntry(e sheetreader.Entry) {
	if e.Accepted && a.isOwn(e.Record) {
		a.acceptedAt = &e.Offset
	}
}

// isOwn reports whether a record, possibly of an earlier run, is the one that this
// publication appends.
func (a *attempt) isOwn(r cassiatally.SheetRecord) bool {
	return r.Version == a.record.Version && r.BasedOn == a.record.BasedOn &&
		r.Publisher == a.record.Publisher && r.Digest == a.record.Digest
}

// decided reports whether the records read determine the result: this
// publisher's record was accepted, it can no longer be because another version than
// basedOn is in force, or the log has no base.
func (a *attempt) decided() bool {
	current, _ := a.reader.Folder.Current()
	return a.acceptedAt != nil || !a.reader.Folder.HasBase() || current.Version != a.record.BasedOn
}

// append sends the record once and reads back. It returns nil when the log was
// read past the record, or to its end when the response was lost.
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
	return a.readToEnd(ctx, err)
}

// readToEnd reads the log to its end, with retries until the context ends, after
// an append whose response was lost.
func (a *attempt) readToEnd(ctx context.Context, cause error) error {
	for {
		if err := a.sleep(ctx); err != nil {
			return a.unavailableError(cause)
		}
		err := a.reader.ReadToEnd(ctx, a.recordEntry)
		if err == nil {
			return nil
		}
		cause = err
	}
}

func (a *attempt) readPast(ctx context.Context, offset cassiatally.Offset) error {
	for a.reader.Folder.Next() <= offset {
		n, err := a.reader.Read(ctx, readBackWait, a.recordEntry)
		if err == nil && n > 0 {
			continue
		}
		if pauseErr := a.sleep(ctx); pauseErr != nil {
			return a.unavailableError(errors.CombineErrors(err, pauseErr))
		}
	}
	return nil
}

// sleep waits for the backoff and doubles it. It returns an error when the context
// ends.
func (a *attempt) sleep(ctx context.Context) error {
	timer := time.NewTimer(a.backoff)
	defer timer.Stop()
	a.backoff = min(2*a.backoff, maxBackoff)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (a *attempt) unavailableError(cause error) error {
	e := cassiatally.NewError(cassiatally.KindLogUnavailable,
		"nothing was published (%v); publish again when the log service answers", cause)
	e.Outcome = cassiatally.OutcomeNotRun
	if a.sent {
		e = cassiatally.NewError(cassiatally.KindLogUnavailable,
			"it is not known whether version %d was accepted (%v); publish the same sheet again with the same name and version to learn it", a.record.Version, cause)
	}
	return e
}

func (a *attempt) conflictError() error {
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
