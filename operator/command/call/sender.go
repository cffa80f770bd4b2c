package call

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/operator/nodeclient"
)

// answerGrace is added to the timeout, so that the node's own answer to an expired
// request still arrives.
const answerGrace = time.Second

// resendableKinds are the refusals after which a later send may succeed.
var resendableKinds = []string{
	cassiatally.KindOverloaded.String(), cassiatally.KindExpired.String(), cassiatally.KindNoBackend.String(),
	cassiatally.KindDraining.String(), cassiatally.KindRetryBudgetSpent.String(), cassiatally.KindUnreachable.String(),
	cassiatally.KindUnavailable.String(),
}

// sender sends one request until its outcome is known or no re-send is left.
type sender struct {
	client      nodeclient.Client
	node        cassiatally.Address
	request     nodeclient.Request
	resendsLeft int

	key cassiatally.Key
	// minted is set when this command minted the key. Only then does the command know
	// how often the key was sent, and may number its attempts.
	minted   bool
	attempt  int
	sends    int
	lookedUp bool
	answer   nodeclient.Answer
}

func newSender(o *Options, body []byte) *sender {
	return &sender{
		client: nodeclient.Client{HTTP: o.Env.HTTP},
		node:   cassiatally.Address(o.Node),
		request: nodeclient.Request{
			Service: cassiatally.Service(o.Service), Work: cassiatally.WorkKind(o.Kind), Tenant: cassiatally.Tenant(o.Tenant),
			Timeout: o.Timeout, Body: body,
		},
		resendsLeft: o.Resend,
		key:         cassiatally.Key(o.Key),
	}
}

func (s *sender) run(ctx context.Context) error {
	for {
		if err := s.send(ctx); err != nil {
			return err
		}
		if s.answer.Kind == cassiatally.KindKeyRequired.String() && s.key == "" {
			if err := s.mint(ctx); err != nil {
				return err
			}
			continue
		}
		if s.answer.Outcome == cassiatally.OutcomeUnknown && s.key != "" {
			s.lookUp(ctx)
		}
		if s.resendsLeft == 0 || !s.mayResend() {
			return nil
		}
		s.resendsLeft--
		if err := s.prepareResend(ctx); err != nil {
			return err
		}
	}
}

// send sends the request once. A missing or incomplete answer becomes an answer
// with the outcome unknown, since the request may have been run.
func (s *sender) send(ctx context.Context) error {
	s.request.Key, s.request.Attempt = s.key, 0
	if s.minted {
		s.attempt++
		s.request.Attempt = s.attempt
	}
	s.sends++
	limited, cancel := context.WithTimeout(ctx, s.request.Timeout+answerGrace)
	defer cancel()
	a, err := s.client.Call(limited, s.node, s.request)
	if err == nil {
		s.answer = a
		return nil
	}
	if kind := cassiatally.KindOf(err); kind == cassiatally.KindUsage || ctx.Err() != nil {
		return err
	}
	s.answer = unknownAnswer(err)
	return nil
}

func unknownAnswer(err error) nodeclient.Answer {
	var e *cassiatally.Error
	if !errors.As(err, &e) {
		e = cassiatally.NewError(cassiatally.KindInternal, "%v", err)
	}
	return nodeclient.Answer{Outcome: cassiatally.OutcomeUnknown, Kind: e.Kind.String(), Detail: e.Detail}
}

func (s *sender) mint(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, s.request.Timeout+answerGrace)
	defer cancel()
	k, err := s.client.Mint(limited, s.node)
	if err != nil {
		return errors.Wrap(err, "nothing was run, since no key could be minted; try again or another node")
	}
	s.key, s.minted, s.attempt = k, true, 0
	return nil
}

// lookUp replaces an unknown outcome by the one that the holder of the key has
// recorded.
func (s *sender) lookUp(ctx context.Context) {
	s.lookedUp = true
	limited, cancel := context.WithTimeout(ctx, s.request.Timeout+answerGrace)
	defer cancel()
	a, err := s.client.Lookup(limited, s.node, s.key)
	if err == nil && a.Outcome != cassiatally.OutcomeUnknown {
		s.answer = a
	}
}

// mayResend reports whether another send may help and cannot run the request
// twice: a request with a key runs at most once, and one without a key is
// idempotent or was refused because it had none.
func (s *sender) mayResend() bool {
	switch s.answer.Outcome {
	case cassiatally.OutcomeRan:
		return false
	case cassiatally.OutcomeNotRun:
		// The refusal has used up the key. Only the user may replace a key that the
		// user gave.
		return slices.Contains(resendableKinds, s.answer.Kind) && (s.key == "" || s.minted)
	default:
		return s.answer.Kind != cassiatally.KindKeyExpired.String()
	}
}

// prepareResend waits for the Retry-After time of the answer and replaces a key that
// a refusal has used up.
func (s *sender) prepareResend(ctx context.Context) error {
	wait := time.NewTimer(s.answer.RetryAfter)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "interrupted before the next send")
	}
	if s.answer.Outcome == cassiatally.OutcomeNotRun && s.key != "" {
		return s.mint(ctx)
	}
	return nil
}
