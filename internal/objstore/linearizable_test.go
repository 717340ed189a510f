package objstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

// registerInput is a create or an update of the object.
type registerInput struct {
	base int // value to be replaced; zero for a create
	id   int // value to write
}

type registerOutput int

const (
	wrote registerOutput = iota
	conflicted
	unknown
)

// registerModel models one object that is replaced by compare-and-set.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		matches := state.(int) == in.base
		switch output.(registerOutput) {
		case wrote:
			return matches, in.id
		case conflicted:
			return !matches, state
		default:
			// The write may or may not have taken effect. Its return time is set
			// to the far future.
			if matches {
				return true, in.id
			}
			return true, state
		}
	},
}

// TestClientIsLinearizable lets four clients update one object with conditional
// writes while responses are lost.
func TestClientIsLinearizable(t *testing.T) {
	const clients, writes = 4, 25
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newTestStore(t)
			var mu sync.Mutex
			var operations []porcupine.Operation
			start := time.Now()
			var wg sync.WaitGroup
			for client := range clients {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(client)))
					c, loss := s.client(fmt.Sprintf("c%d", client), func() {})
					for n := range writes {
						loss.lose = rng.IntN(3)
						op := updateOnce(c, client*writes+n+1, start)
						op.ClientId = client
						mu.Lock()
						operations = append(operations, op)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			result := porcupine.CheckOperationsTimeout(registerModel, operations, time.Minute)
			qt.Assert(t, result, qt.Equals, porcupine.Ok)
		})
	}
}

// updateOnce reads the object and replaces the version that it read.
func updateOnce(c *objstore.Client, id int, start time.Time) porcupine.Operation {
	ctx := context.Background()
	var before value
	o, err := c.Get(ctx, testKind, testName)
	if err == nil {
		_ = o.Decode(&before)
	}
	op := porcupine.Operation{Input: registerInput{base: before.ID, id: id}, Call: int64(time.Since(start))}
	if err == nil {
		_, err = c.Update(ctx, testKind, testName, o.Version, value{ID: id})
	} else {
		_, err = c.Create(ctx, testKind, testName, value{ID: id})
	}
	op.Return = int64(time.Since(start))
	switch {
	case err == nil:
		op.Output = wrote
	case errors.Is(err, objstore.ErrConflict):
		op.Output = conflicted
	default:
		op.Output, op.Return = unknown, int64(time.Hour)
	}
	return op
}
