package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Tokens holds the secret tokens by operator name.
type Tokens map[string]string

// SharedOperator is the operator name of callers that use the shared token of the
// setting host.operator_token.
const SharedOperator = "operator"

// authenticate returns the name of the operator that a token belongs to. It
// compares hashes of all tokens in constant time, so that its duration does not
// reveal a token.
func (t Tokens) authenticate(presented string) (string, bool) {
	sum := sha256.Sum256([]byte(presented))
	found, ok := "", false
	for name, token := range t {
		want := sha256.Sum256([]byte(token))
		if token != "" && subtle.ConstantTimeCompare(sum[:], want[:]) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}

type operatorContextKey struct{}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

func (a *API) authorize(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	name, ok := a.tokens.authenticate(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	if !ok {
		writeError(w, apierr.New(apierr.Unauthorized, "the operator token is not valid",
			"pass --token, or set MASTICSCALE_TOKEN, to the host.operator_token of the host's settings"))
		return
	}
	next(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
}

// auditFields returns the log fields that identify the operator and the call.
func auditFields(r *http.Request) logrus.Fields {
	return logrus.Fields{"operator": operatorOf(r.Context()), "method": r.Method, "path": r.URL.Path}
}
