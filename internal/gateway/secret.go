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

// callerKey reads the key from the headers that SDKs use. Two different keys are
// an error, because either could be the intended one.
func callerKey(h http.Header) (string, error) {
	found := keysInHeader(h)
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

// keysInHeader returns the keys from all headers that can carry one.
func keysInHeader(h http.Header) []string {
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

// secretPattern matches every key that this system issues.
var secretPattern = regexp.MustCompile(`msk-[A-Za-z0-9_-]{20,}`)

// carriesSecret reports whether a text contains a key, either literally or
// percent-encoded.
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

// checkNoSecret rejects a request that carries a key in its path, forwarded
// headers or body, because the upstream would see it.
func checkNoSecret(r *http.Request, passed http.Header, body []byte, secret string) error {
	if carriesSecret(r.URL.EscapedPath(), secret) {
		return keyExposedError("path")
	}
	for name, values := range passed {
		if carriesSecret(strings.Join(values, "\n"), secret) {
			return keyExposedError("header " + name)
		}
	}
	if bodyCarriesSecret(body, secret) {
		return keyExposedError("body")
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
	documents := json.NewDecoder(bytes.NewReader(body)) // one document, or one per line
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

func keyExposedError(location string) error {
	return apierr.Newf(apierr.Invalid, "send the key in the Authorization header only, and have it replaced if others may have seen it",
		"the %s of the request carries a key", location)
}

// keyParameters are the names of query parameters that may carry a key.
var keyParameters = []string{"key", "api_key", "api-key", "apikey", "access_token", "token"}

// filterPlainQuery removes every parameter that has the name of a key or contains one.
func filterPlainQuery(q url.Values, secret string) string {
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

// loggedPath returns the path with all keys redacted, for logs and errors.
func loggedPath(r *http.Request) string {
	path := secretPattern.ReplaceAllString(r.URL.Path, "REDACTED")
	for _, secret := range keysInHeader(r.Header) {
		if secret != "" {
			path = strings.ReplaceAll(path, secret, "REDACTED")
		}
	}
	return path
}
