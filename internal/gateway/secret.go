package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/masticscale/masticscale/internal/apierr"
)

// secretOf reads the key from the headers that SDKs use. Two different keys are
// an error, since it is not known which one is meant.
func secretOf(h http.Header) (string, error) {
	found := keysIn(h)
	for _, other := range found {
		if other != found[0] {
			return "", apierr.New(apierr.Unauthorized, "the request carries two different keys", "send one key, in the Authorization header")
		}
	}
	if len(found) == 0 || found[0] == "" {
		return "", apierr.New(apierr.Unauthorized, "the request carries no key", `send "Authorization: Bearer KEY"`)
	}
	return found[0], nil
}

const bearerScheme = "bearer"

// keysIn returns the keys of all headers that carry one.
func keysIn(h http.Header) []string {
	var found []string
	for _, v := range h.Values("Authorization") {
		scheme, secret, ok := strings.Cut(strings.TrimSpace(v), " ")
		if ok && strings.EqualFold(scheme, bearerScheme) {
			found = append(found, strings.TrimSpace(secret))
		}
	}
	for _, name := range []string{"X-Api-Key", "Api-Key"} {
		for _, v := range h.Values(name) {
			found = append(found, strings.TrimSpace(v))
		}
	}
	return found
}

// secretPattern matches any key that this system has made.
var secretPattern = regexp.MustCompile(`msk-[A-Za-z0-9_-]{20,}`)

// carriesSecret reports whether a text holds a caller's key, as it stands or in
// one of the escaped forms of URLs and JSON.
func carriesSecret(text, secret string) bool {
	for _, form := range []string{text, unescaped(text)} {
		if secret != "" && strings.Contains(form, secret) || secretPattern.MatchString(form) {
			return true
		}
	}
	return false
}

func unescaped(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	if plain, err := url.PathUnescape(text); err == nil {
		return plain
	}
	return text
}

// checkNoSecret refuses a request whose path, query, passed headers or body
// carry a key, since the upstream would see it.
func checkNoSecret(r *http.Request, passed http.Header, body []byte, secret string) error {
	if carriesSecret(r.URL.EscapedPath(), secret) {
		return secretIn("path")
	}
	for name, values := range passed {
		if carriesSecret(strings.Join(values, "\n"), secret) {
			return secretIn("header " + name)
		}
	}
	if bodyCarriesSecret(body, secret) {
		return secretIn("body")
	}
	return nil
}

func bodyCarriesSecret(body []byte, secret string) bool {
	if carriesSecret(string(body), secret) {
		return true
	}
	if !bytes.ContainsRune(body, '\\') {
		return false
	}
	documents := json.NewDecoder(bytes.NewReader(body)) // one, or one a line
	for {
		var v any
		if documents.Decode(&v) != nil {
			return false
		}
		plain, err := json.Marshal(v) // resolves escapes such as \u006d
		if err == nil && carriesSecret(string(plain), secret) {
			return true
		}
	}
}

func secretIn(place string) error {
	return apierr.Newf(apierr.Invalid, "send the key in the Authorization header only, and have it replaced if others may have seen it",
		"the %s of the request carries a key", place)
}

// keyParameters are query parameters that can carry a key.
var keyParameters = []string{"key", "api_key", "api-key", "apikey", "access_token", "token"}

// plainQuery leaves out every parameter that is named like a key or carries one.
func plainQuery(q url.Values, secret string) string {
	for name, values := range q {
		if isKeyParameter(name) || carriesSecret(name, secret) || carriesSecret(strings.Join(values, "\n"), secret) {
			delete(q, name)
		}
	}
	return q.Encode()
}

func isKeyParameter(name string) bool {
	for _, n := range keyParameters {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// loggedPath returns the path as logs and errors may show it.
func loggedPath(r *http.Request) string {
	path := secretPattern.ReplaceAllString(r.URL.Path, "REDACTED")
	for _, secret := range keysIn(r.Header) {
		if secret != "" {
			path = strings.ReplaceAll(path, secret, "REDACTED")
		}
	}
	return path
}
