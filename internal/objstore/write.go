package objstore

import (
	"context"

	"github.com/go-faster/errors"
)

// attempt is a conditional write. It is sent again only after a read has shown
// that it has not taken effect. If the first copy arrives late, at most one of
// the copies can meet the condition.
type attempt struct {
	kind    Kind
	name    string
	version int64 // version to be replaced; zero for a create
	id      string
	spec    []byte
	writers []writer
	body    []byte
}

func (a attempt) String() string { return string(a.kind) + " " + a.name }

// sendUntilResolved sends the attempt until its outcome is known. It returns
// ErrConflict only if the attempt did not take effect, ErrUnavailable only if it
// cannot have taken effect, and ErrAmbiguous if that could not be determined.
// One case is not detected: a create is reported as a conflict if it took effect
// and others deleted the object and created it again before the read.
func (c *Client) sendUntilResolved(ctx context.Context, a attempt) (Object, error) {
	backoff := minBackoff
	sent := false
	for try := 1; ; try++ {
		o, err := c.send(ctx, a)
		if err == nil {
			return c.recordWrite(a, o.Version), nil
		}
		if errors.Is(err, ErrTooLarge) {
			return Object{}, errors.Wrapf(err, "write %s", a)
		}
		rejected := errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound)
		if rejected && !sent {
			return Object{}, errors.Wrapf(ErrConflict, "write %s", a)
		}
		sent = sent || !rejected && !notExecuted(err)
		if sent {
			resolved, o, outcome := c.readBack(ctx, a)
			if resolved {
				return o, outcome
			}
		}
		if try >= maxWriteAttempts || !c.sleep(ctx, backoff) {
			return Object{}, unresolvedError(a, sent, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// send sends the attempt once.
func (c *Client) send(ctx context.Context, a attempt) (o Object, err error) {
	if a.version == 0 {
		err = c.call(ctx, "CREATE", func(ctx context.Context) (err error) {
			o, err = c.transport.Create(ctx, a.kind, a.name, a.body)
			return err
		})
		return o, err
	}
	err = c.call(ctx, "REPLACE", func(ctx context.Context) (err error) {
		o, err = c.transport.Replace(ctx, a.kind, a.name, a.version, a.body)
		return err
	})
	return o, err
}

// notExecuted reports whether err means that the platform did not execute the
// call.
func notExecuted(err error) bool { return errors.Is(err, ErrUnavailable) }

// recordWrite records the writers of an applied attempt and returns the object
// that it wrote.
func (c *Client) recordWrite(a attempt, version int64) Object {
	c.history.record(a.kind, a.name, version, a.writers)
	return Object{Kind: a.kind, Name: a.name, Version: version, Value: a.spec}
}

func unresolvedError(a attempt, sent bool, cause error) error {
	if sent {
		return errors.Wrapf(ErrAmbiguous, "write %s: %v", a, cause)
	}
	return errors.Wrapf(ErrUnavailable, "write %s: %v", a, cause)
}

// readBack reads the object to resolve the outcome of an attempt. It reports
// whether the outcome is known, and then returns the result of the write.
func (c *Client) readBack(ctx context.Context, a attempt) (bool, Object, error) {
	o, writers, err := c.get(ctx, a.kind, a.name)
	if errors.Is(err, ErrNotFound) && a.version != 0 {
		return true, Object{}, errors.Wrapf(ErrAmbiguous, "write %s: object was deleted", a)
	}
	if err != nil {
		return false, Object{}, nil
	}
	state, version := resolveAttempt(o.Version, writers, a.id, a.version)
	switch state {
	case applied:
		return true, c.recordWrite(a, version), nil
	case superseded:
		return true, Object{}, errors.Wrapf(ErrConflict, "write %s", a)
	case historyTooShort:
		return true, Object{}, errors.Wrapf(ErrAmbiguous, "write %s: too many later writes to tell", a)
	default:
		return false, Object{}, nil
	}
}

// Delete implements Store. It succeeds if the object does not exist.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version int64) error {
	a := attempt{kind: kind, name: name, version: version, id: c.nextAttempt()}
	backoff := minBackoff
	sent := false
	for try := 1; ; try++ {
		err := c.call(ctx, "DELETE", func(ctx context.Context) error {
			return c.transport.Delete(ctx, kind, name, version)
		})
		if err == nil || errors.Is(err, ErrNotFound) {
			return nil
		}
		if errors.Is(err, ErrConflict) && !sent {
			return errors.Wrapf(ErrConflict, "delete %s", a)
		}
		sent = sent || !errors.Is(err, ErrConflict) && !notExecuted(err)
		if sent {
			resolved, outcome := c.resolveDelete(ctx, a)
			if resolved {
				return outcome
			}
		}
		if try >= maxWriteAttempts || !c.sleep(ctx, backoff) {
			return unresolvedError(a, sent, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// resolveDelete reads the object to resolve the outcome of a delete. It reports
// whether the outcome is known, and then returns the result of the delete. If
// the recorded writers reach back to a create but none replaced the version to
// delete, the object was deleted and created again.
func (c *Client) resolveDelete(ctx context.Context, a attempt) (bool, error) {
	o, writers, err := c.get(ctx, a.kind, a.name)
	if errors.Is(err, ErrNotFound) {
		return true, nil
	}
	if err != nil || o.Version == a.version {
		return false, nil
	}
	if state, _ := resolveAttempt(o.Version, writers, a.id, a.version); state == superseded {
		return true, errors.Wrapf(ErrConflict, "delete %s", a)
	}
	if reachesCreation(writers) {
		return true, nil
	}
	return true, errors.Wrapf(ErrAmbiguous, "delete %s: too many later writes to tell", a)
}
