package gateway

import (
	"net/http"
	"path"
	"strings"

	"github.com/masticscale/masticscale/internal/apierr"
)

// rejectAmbiguousPaths rejects paths that an upstream could resolve differently
// from the router: dot segments, empty segments, backslashes, path parameters
// and escaped separators.
func rejectAmbiguousPaths(g *Gateway, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isAmbiguousPath(r.URL.Path, r.URL.EscapedPath()) {
			g.fail(w, r, "online", "", apierr.New(apierr.Invalid, "the path can be read in more than one way",
				"send it without dot segments, empty segments, backslashes and escaped slashes"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func isAmbiguousPath(plain, escaped string) bool {
	lower := strings.ToLower(escaped)
	if !strings.HasPrefix(plain, "/") || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") ||
		strings.ContainsAny(plain, "\\\x00") || strings.Contains(lower, "%25") || strings.Contains(plain, ";") {
		return true
	}
	clean := path.Clean(plain)
	if strings.HasSuffix(plain, "/") && clean != "/" {
		clean += "/"
	}
	return clean != plain
}
