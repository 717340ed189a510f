package httpengine

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// attemptHeader carries the attempt's own id. Engines that echo it let a
// crossed answer be told from the right one.
const (
	attemptHeader = "X-Request-Id"
	attemptPrefix = "attempt-"
)

// errCrossed means that an upstream answered with another attempt's answer.
var errCrossed = errors.New("the upstream sent the answer of another request")

// attemptIDs makes ids that no other process makes.
type attemptIDs struct {
	process string
	count   atomic.Int64
}

func newAttemptIDs() *attemptIDs {
	return &attemptIDs{process: strings.ReplaceAll(uuid.NewString(), "-", "")}
}

func (a *attemptIDs) next() string {
	return fmt.Sprintf("%s%s-%d", attemptPrefix, a.process, a.count.Add(1))
}

// checkEcho refuses an answer that carries the id of another attempt. Servers
// that send no id, or one of their own making, are not judged.
func checkEcho(h http.Header, id string) error {
	echo := h.Get(attemptHeader)
	if echo == id || !strings.HasPrefix(echo, attemptPrefix) {
		return nil
	}
	return errCrossed
}
