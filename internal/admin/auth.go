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

// Tokens are the operators' secrets by the operator's name.
type Tokens map[string]string

// SharedOperator is the name of the operator whose token is host.operator_token.
const SharedOperator = "operator"

// operator returns the name whose token was given.
func (t Tokens) operator(given string) (string, bool) {
	sum := sha256.Sum256([]byte(given))
	found, ok := "", false
	for name, token := range t {
		want := sha256.Sum256([]byte(token))
		if token != "" && subtle.ConstantTimeCompare(sum[:], want[:]) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}

type operatorKey struct{}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

func (a *API) authorize(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	name, ok := a.tokens.operator(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	if !ok {
		writeError(w, apierr.New(apierr.Unauthorized, "the operator token is not valid",
			"pass --token, or set MASTICSCALE_TOKEN, to the host.operator_token of the host's settings"))
		return
	}
	next(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
}

// audit says who asked for what.
func audit(r *http.Request) logrus.Fields {
	return logrus.Fields{"operator": operatorOf(r.Context()), "method": r.Method, "path": r.URL.Path}
}
