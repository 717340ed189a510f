package entry_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
)

// TestAnswerToAResumedRunCountsAgainstItsUpstream guards against sound upstreams that are
// ejected because they answer resumed runs with a status below 500.
func TestAnswerToAResumedRunCountsAgainstItsUpstream(t *testing.T) {
	for status, failed := range map[int]int{200: 1, 204: 1, 301: 1, 400: 1, 404: 1, 429: 1, 500: 3, 503: 3} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				core := newCore(6)
				_, err := serve(core, &script{steps: steps(events(1, 2, true), answer(status, false, "text"), answer(status, false, "text"))}, "/stream/x", "k")
				c.Check(err, qt.IsNotNil)
				total := 0
				for _, o := range core.State().Outcomes {
					total += o.Failed
				}
				c.Check(total, qt.Equals, failed) // of which one is that of the truncated run
			})
		})
	}
}
