package gateway

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
)

const executionHeader = "X-Masticscale-Execution" // not_run or unknown

// errorBody is the error object of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string           `json:"message"`
	Type      string           `json:"type"`
	Code      string           `json:"code"`
	Param     *string          `json:"param"`
	Execution apierr.Execution `json:"execution"`
}

func newErrorDetail(e *apierr.Error) errorDetail {
	message := e.Message
	if e.Remedy != "" {
		message += "; " + e.Remedy
	}
	return errorDetail{Message: message, Type: errorType(e), Code: string(e.Kind), Execution: e.Execution}
}

func errorType(e *apierr.Error) string {
	switch e.Status() / 100 {
	case 4:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func writeError(w http.ResponseWriter, e *apierr.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(executionHeader, string(e.Execution))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(errorBody{Error: newErrorDetail(e)}) // strings and numbers can be encoded
	h.Set("Content-Length", strconv.Itoa(body.Len()))                      // the response is complete before the request's body is read
	w.WriteHeader(e.Status())
	_, _ = w.Write(body.Bytes()) // a failed write means that the caller has disconnected
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// methodNotAllowed is the error of a path that exists under other methods.
func methodNotAllowed(w http.ResponseWriter, r *http.Request, methods []string) error {
	w.Header().Set("Allow", strings.Join(methods, ", "))
	return apierr.Newf(apierr.MethodNotAllowed, "use one of the methods in the Allow header", "%s does not take %s", loggedPath(r), r.Method)
}
